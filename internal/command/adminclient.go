package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/integrii/flaggy"
)

// Limits of a call on the administration API.
const (
	adminTimeout = 5 * time.Second
	// maxAdminBytes bounds an answer.
	maxAdminBytes = 16 << 20
	// maxShownBytes bounds what is shown of a refusal.
	maxShownBytes = 300
)

// adminFlags are the flags of the commands that ask a gateway.
type adminFlags struct {
	url   string
	token string
	// envToken is the token of the environment. It is not the flag's default,
	// since flaggy shows defaults in its help.
	envToken string
}

// secret returns the token to use.
func (f *adminFlags) secret() string {
	if f.token != "" {
		return f.token
	}
	return f.envToken
}

func (f *adminFlags) attach(sub *flaggy.Subcommand, env *Env) {
	f.url = env.lookup(envAdmin)
	f.envToken = env.lookup(envToken)
	sub.String(&f.url, "", "admin", "base URL of a gateway's administration API, or "+envAdmin)
	sub.String(&f.token, "", "token", "administration token, or better "+envToken)
}

func (f *adminFlags) problems() []string {
	problems := urlProblems("--admin", f.url)
	if f.secret() == "" {
		problems = append(problems, "--token: is missing; set "+envToken)
	}
	return problems
}

// call makes one call and decodes a JSON answer into out, unless it is nil.
// The error is an *AdminError.
func (f *adminFlags) call(ctx context.Context, method, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	target := strings.TrimSuffix(f.url, "/") + path
	req, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return &AdminError{URL: target, Cause: err}
	}
	req.Header.Set("Authorization", "Bearer "+f.secret())
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return &AdminError{URL: target, Cause: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAdminBytes))
	if err != nil {
		return &AdminError{URL: target, Cause: err}
	}
	if resp.StatusCode/100 != 2 {
		return &AdminError{URL: target, Status: resp.StatusCode, Message: shown(body)}
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return &AdminError{URL: target, Status: resp.StatusCode, Cause: err}
	}
	return nil
}

func shown(body []byte) string {
	body = bytes.TrimSpace(body)
	return string(body[:min(len(body), maxShownBytes)])
}

// row writes one line of a table.
func row(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
	}
	fmt.Fprintln(w, strings.Join(texts, "\t"))
}

// ago shows an age in milliseconds.
func ago(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }
