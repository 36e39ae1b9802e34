package app

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/gateway"
	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/peer"
	"github.com/hickorystage/hickorystage/internal/standin/caller"
)

// TestStockOpenAIClient uses the unmodified OpenAI client library as callers do:
// for unary, streamed, cancelled and refused requests.
func TestStockOpenAIClient(t *testing.T) {
	runInDeployment(t, func(t *testing.T, d *testDeployment) {
		gw := d.gateway("gw1-svealand")
		newClient := func(key string) openai.Client {
			c := d.client(gw, key)
			return openai.NewClient(option.WithBaseURL("http://"+gw.callerAddress+"/v1/"), option.WithAPIKey(key),
				option.WithHTTPClient(c.HTTP), option.WithMaxRetries(0))
		}
		client := newClient("demo-key-svealand")
		params := openai.ChatCompletionNewParams{
			Model:               "quilt-care",
			Messages:            []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
			MaxCompletionTokens: openai.Int(8),
		}
		ctx := context.Background()
		plain, err := client.Chat.Completions.New(ctx, params)
		require.NoError(t, err)
		require.NotEmpty(t, plain.Choices[0].Message.Content)
		require.EqualValues(t, 8, plain.Usage.CompletionTokens)

		stream := client.Chat.Completions.NewStreaming(ctx, params)
		text := ""
		for stream.Next() {
			for _, choice := range stream.Current().Choices {
				text += choice.Delta.Content
			}
		}
		require.NoError(t, stream.Err())
		require.Equal(t, plain.Choices[0].Message.Content, text)

		cancelled, cancel := context.WithCancel(ctx)
		params.MaxCompletionTokens = openai.Int(1000)
		stream = client.Chat.Completions.NewStreaming(cancelled, params)
		require.True(t, stream.Next())
		cancel()
		for stream.Next() {
		}
		require.ErrorIs(t, stream.Err(), context.Canceled)
		d.await(time.Second, "the engine's request is cancelled", func() bool {
			return d.engines["engine-svealand"].Stats().InFlight == 0
		})

		models, err := client.Models.List(ctx)
		require.NoError(t, err)
		require.Len(t, models.Data, 2)

		_, err = complete(ctx, newClient("not-a-key"), params)
		var refused *openai.Error
		require.ErrorAs(t, err, &refused)
		require.Equal(t, http.StatusUnauthorized, refused.StatusCode)
	})
}

func complete(ctx context.Context, c openai.Client, params openai.ChatCompletionNewParams) (*openai.ChatCompletion, error) {
	return c.Chat.Completions.New(ctx, params)
}

func TestBadInputIsRefusedWithATypeAndTouchesNothing(t *testing.T) {
	runInDeployment(t, func(t *testing.T, d *testDeployment) {
		gw := d.gateway("gw1-svealand")
		tickets := d.entries(d.client(gw, "demo-key-svealand")).Tickets
		validTicket := tickets.Key(tickets.First)
		oversized := strings.Repeat("x", 2<<20)
		// An earlier configuration may have had the call, so it may have run.
		unknownOutcome := map[string]bool{"unknown service": true, "unknown call": true}
		type header = map[string]string
		key := func(k string) header { return header{gateway.HeaderIdempotencyKey: k} }
		for name, c := range map[string]struct {
			method, path, key string
			header            header
			body              any
			want              failure.Code
		}{
			"no key":              {http.MethodGet, "/v1/models", "", nil, nil, failure.CodeUnauthenticated},
			"unknown key":         {http.MethodGet, "/v1/models", "nobody", nil, nil, failure.CodeUnauthenticated},
			"unknown path":        {http.MethodGet, "/v2/models", "demo-key-svealand", nil, nil, failure.CodeNotFound},
			"unknown model":       {http.MethodPost, "/v1/chat/completions", "demo-key-svealand", nil, caller.ChatBody{Model: "x", Messages: chatBody("a").Messages}, failure.CodeUnknownModel},
			"broken JSON":         {http.MethodPost, "/v1/chat/completions", "demo-key-svealand", nil, "not an object", failure.CodeBadRequest},
			"no messages":         {http.MethodPost, "/v1/chat/completions", "demo-key-svealand", nil, caller.ChatBody{Model: "quilt-care"}, failure.CodeBadRequest},
			"oversize body":       {http.MethodPost, "/v1/chat/completions", "demo-key-svealand", nil, chatBody(oversized), failure.CodeBodyTooLarge},
			"prompt too long":     {http.MethodPost, "/v1/chat/completions", "demo-key-svealand", nil, chatBody(oversized[:900<<10]), failure.CodeBadRequest},
			"bad deadline":        {http.MethodGet, "/v1/models", "demo-key-svealand", header{gateway.HeaderDeadline: "soon"}, nil, failure.CodeBadRequest},
			"bad priority":        {http.MethodGet, "/v1/models", "demo-key-svealand", header{gateway.HeaderPriority: "-1"}, nil, failure.CodeBadRequest},
			"unknown service":     {http.MethodPost, "/v1/actions/none/collect", "demo-key-svealand", key("a"), nil, failure.CodeUnknownService},
			"unknown call":        {http.MethodPost, "/v1/actions/booking/none", "demo-key-svealand", key("a"), nil, failure.CodeUnknownService},
			"action without key":  {http.MethodPost, "/v1/actions/booking/collect", "demo-key-svealand", nil, nil, failure.CodeBadRequest},
			"forged ticket":       {http.MethodPost, "/v1/actions/booking/collect", "demo-key-svealand", key(validTicket + "9"), nil, failure.CodeBadTicket},
			"foreign ticket":      {http.MethodPost, "/v1/actions/booking/collect", "demo-key-norrland", key(validTicket), nil, failure.CodeBadTicket},
			"not idempotent":      {http.MethodPost, "/v1/services/booking/bookings/collect", "demo-key-svealand", nil, nil, failure.CodeForbidden},
			"forged resume":       {http.MethodPost, "/v1/chat/completions", "demo-key-svealand", nil, map[string]any{"model": "quilt-care", "messages": chatBody("a").Messages, "resume": map[string]any{"next_seq": 3, "text": "x"}}, failure.CodeBadRequest},
			"forged peer headers": {http.MethodPost, "/peer/v1/forward/v1/chat/completions", "demo-key-svealand", header{peer.HeaderForward: `{"customer":"svealand-shops"}`}, chatBody("a"), failure.CodeNotFound},
		} {
			a, err := d.client(gw, c.key).Do(context.Background(), c.method, c.path, c.header, c.body)
			require.NoError(t, err, name)
			refusal := refusalOf(t, a)
			require.Equal(t, c.want, refusal.Type, name)
			want := failure.NotRun
			if unknownOutcome[name] {
				want = failure.Unknown
			}
			require.Equal(t, want, refusal.Outcome, name)
			require.NotEmpty(t, refusal.RequestID, name)
			require.GreaterOrEqual(t, a.Status, 400, name)
			require.Less(t, a.Status, 500, name)
		}
		require.Zero(t, d.executions())
		require.Zero(t, d.engines["engine-svealand"].Stats().Attempts)
	})
}

// TestRequestIDsNeedNotBeUnique sends several requests with one request id at
// the same time while the endpoint runs only one, so that the others queue.
func TestRequestIDsNeedNotBeUnique(t *testing.T) {
	runInDeployment(t, func(t *testing.T, d *testDeployment) {
		d.publish(intent.File{Name: "70-narrow.yaml", Content: []byte("groups: {assistant: {max_concurrent: 1}}\n")})
		time.Sleep(9 * time.Second)
		c := d.client(d.gateway("gw1-svealand"), "demo-key-svealand")
		done := make(chan *caller.Response, 8)
		for range cap(done) {
			go func() {
				a, err := c.Do(context.Background(), http.MethodPost, "/v1/chat/completions", map[string]string{gateway.HeaderRequestID: "same"}, chatBody("again"))
				if err != nil {
					a = &caller.Response{Body: []byte(err.Error())}
				}
				done <- a
			}()
		}
		for range cap(done) {
			a := <-done
			require.Equal(t, http.StatusOK, a.Status, string(a.Body))
		}
	})
}

// TestLimitsCoverActionsAndServices checks that actions and service calls count
// towards a customer's requests_per_second limit.
func TestLimitsCoverActionsAndServices(t *testing.T) {
	runInDeployment(t, func(t *testing.T, d *testDeployment) {
		d.publish(intent.File{Name: "70-limits.yaml", Content: []byte("customers: {svealand-shops: {limits: {requests_per_second: 1, concurrent: 4}}}\n")})
		time.Sleep(9 * time.Second)
		c := d.client(d.gateway("gw1-svealand"), "demo-key-svealand")
		refused := map[string]bool{}
		for i := range 30 {
			a := d.book(c, "order-"+strconv.Itoa(i))
			refused["action"] = refused["action"] || a.Status == http.StatusTooManyRequests
			a, err := c.Do(context.Background(), http.MethodGet, "/v1/services/booking/bookings/slots?week=3", nil, nil)
			require.NoError(t, err)
			refused["service"] = refused["service"] || a.Status == http.StatusTooManyRequests
		}
		require.Equal(t, map[string]bool{"action": true, "service": true}, refused)
	})
}

func TestRepeatableServiceCall(t *testing.T) {
	runInDeployment(t, func(t *testing.T, d *testDeployment) {
		c := d.client(d.gateway("gw1-svealand"), "demo-key-svealand")
		a, err := c.Do(context.Background(), http.MethodGet, "/v1/services/booking/bookings/slots?week=3", nil, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, a.Status, string(a.Body))
		require.Contains(t, string(a.Body), "/bookings/slots")
	})
}

func TestOperatorsNeedTheToken(t *testing.T) {
	runInDeployment(t, func(t *testing.T, d *testDeployment) {
		gw := d.gateway("gw1-svealand")
		for _, path := range []string{"/admin/v1/status", "/admin/v1/config", "/debug/vars"} {
			c := d.client(gw, "wrong-token")
			c.Address = gw.adminAddress
			a, err := c.Do(context.Background(), http.MethodGet, path, nil, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusUnauthorized, a.Status)
			c.Key = "a-token-of-the-operators"
			a, err = c.Do(context.Background(), http.MethodGet, path, nil, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, a.Status, path)
		}
	})
}

// TestSlowHeadersAreCutOff sends the header one byte a second and checks that
// every listener closes the connection within a minute.
func TestSlowHeadersAreCutOff(t *testing.T) {
	runInDeployment(t, func(t *testing.T, d *testDeployment) {
		gw := d.gateway("gw1-svealand")
		for _, address := range []string{gw.callerAddress, gw.peerAddress, gw.adminAddress} {
			conn, err := d.net.Host(svealand, "caller").Dial(context.Background(), "tcp", address)
			require.NoError(t, err)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_, _ = io.Copy(io.Discard, bufio.NewReader(conn))
			}()
			sent := time.Now()
			for time.Since(sent) < time.Minute {
				if _, err := conn.Write([]byte("G")); err != nil {
					break
				}
				time.Sleep(time.Second)
			}
			require.Less(t, time.Since(sent), time.Minute, "the listener closes the connection")
			require.NoError(t, conn.Close())
			<-ended
		}
	})
}
