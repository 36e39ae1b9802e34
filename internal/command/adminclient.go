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

// Limits of a call to the administration API.
const (
	adminTimeout = 5 * time.Second
	// maxAdminResponseBytes bounds the body of a response.
	maxAdminResponseBytes = 16 << 20
	// maxMessageBytes bounds the part of an error response shown to the operator.
	maxMessageBytes = 300
)

// adminFlags are the flags of the commands that call a gateway's administration
// API.
type adminFlags struct {
	url   string
	token string
	// envToken is the token from the environment. It is not the flag's default,
	// because flaggy prints defaults in its help, which would show the token.
	envToken string
}

// bearerToken returns the token of the flag, or else that of the environment.
func (f *adminFlags) bearerToken() string {
	if f.token != "" {
		return f.token
	}
	return f.envToken
}

func (f *adminFlags) addFlags(sub *flaggy.Subcommand, env *Env) {
	f.url = env.lookup(envAdminURL)
	f.envToken = env.lookup(envAdminToken)
	sub.String(&f.url, "", "admin", "base URL of a gateway's administration API, or "+envAdminURL)
	sub.String(&f.token, "", "token", "administration token, or better "+envAdminToken)
}

func (f *adminFlags) problems() []string {
	problems := urlProblems("--admin", f.url)
	if f.bearerToken() == "" {
		problems = append(problems, "--token: is missing; set "+envAdminToken)
	}
	return problems
}

// call sends one request and decodes the JSON response into out, unless out is
// nil. An error is an *AdminError.
func (f *adminFlags) call(ctx context.Context, method, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	target := strings.TrimSuffix(f.url, "/") + path
	req, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return &AdminError{URL: target, Cause: err}
	}
	req.Header.Set("Authorization", "Bearer "+f.bearerToken())
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return &AdminError{URL: target, Cause: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAdminResponseBytes))
	if err != nil {
		return &AdminError{URL: target, Cause: err}
	}
	if resp.StatusCode/100 != 2 {
		return &AdminError{URL: target, Status: resp.StatusCode, Message: messageExcerpt(body)}
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return &AdminError{URL: target, Status: resp.StatusCode, Cause: err}
	}
	return nil
}

// messageExcerpt returns the start of an error response's body.
func messageExcerpt(body []byte) string {
	body = bytes.TrimSpace(body)
	return string(body[:min(len(body), maxMessageBytes)])
}

// writeRow writes one line of tab-separated cells, for a tabwriter.
func writeRow(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
	}
	fmt.Fprintln(w, strings.Join(texts, "\t"))
}

// formatAge formats an age given in milliseconds.
func formatAge(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }
