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
	// maxAdminResponseBytes bounds an answer.
	maxAdminResponseBytes = 16 << 20
	// maxMessageBytes bounds what is shown of a refusal.
	maxMessageBytes = 300
)

// adminFlags are the flags of the commands that ask a gateway.
type adminFlags struct {
	url   string
	token string
	// envToken is the token of the environment. It is not the flag's default,
	// since flaggy shows defaults in its help.
	envToken string
}

// bearerToken returns the token to use.
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

func messageExcerpt(body []byte) string {
	body = bytes.TrimSpace(body)
	return string(body[:min(len(body), maxMessageBytes)])
}

// writeRow writes one line of a table.
func writeRow(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
	}
	fmt.Fprintln(w, strings.Join(texts, "\t"))
}

// formatAge shows an age in milliseconds.
func formatAge(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }
