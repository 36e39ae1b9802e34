package command

import (
	"context"
	"encoding/json"
	"net/url"
	"time"

	"github.com/integrii/flaggy"

	"github.com/hickorystage/hickorystage/internal/intent/publish"
)

// defaultTimeout bounds the total time for the calls of one command to the store.
const defaultTimeout = 30 * time.Second

// storeFlags are the flags of the commands that call the store.
type storeFlags struct {
	url     string
	timeout time.Duration
}

func (f *storeFlags) addFlags(sub *flaggy.Subcommand, env *Env) {
	f.url = env.lookup(envStoreURL)
	f.timeout = defaultTimeout
	sub.String(&f.url, "", "store", "base URL of the key-value service, or "+envStoreURL)
	sub.Duration(&f.timeout, "", "timeout", "total time for the calls to the store")
}

func (f *storeFlags) problems() []string {
	problems := urlProblems("--store", f.url)
	if f.timeout <= 0 {
		problems = append(problems, "--timeout: must be above 0")
	}
	return problems
}

// newPublisher returns a publisher for the store and a context with the timeout
// of its calls.
func (f *storeFlags) newPublisher(ctx context.Context, env *Env) (*publish.Publisher, context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	return publish.New(env.NewStore(f.url), publish.Options{Now: env.Now}), ctx, cancel
}

// urlProblems returns the problems with a base URL given by a flag, nil if there
// are none.
func urlProblems(flag, text string) []string {
	if text == "" {
		return []string{flag + ": is missing; want a URL such as http://10.0.0.1:7000"}
	}
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return []string{flag + ": not a URL such as http://10.0.0.1:7000: " + text}
	}
	return nil
}

func addFolderArgument(sub *flaggy.Subcommand, folder *string) {
	sub.AddPositionalValue(folder, "FOLDER", 1, true, "the folder with the configuration's .yaml files")
}

func addJSONFlag(sub *flaggy.Subcommand, asJSON *bool) {
	sub.Bool(asJSON, "", "json", "print JSON")
}

// printJSON writes v as indented JSON.
func (e *Env) printJSON(v any) error {
	enc := json.NewEncoder(e.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
