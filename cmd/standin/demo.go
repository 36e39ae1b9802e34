package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/hickorystage/hickorystage/internal/gateway"
	"github.com/hickorystage/hickorystage/internal/platform"
	"github.com/hickorystage/hickorystage/internal/standin/caller"
)

// retryInterval is the pause between two looks for a serving gateway.
const retryInterval = 200 * time.Millisecond

// demoOptions are the settings of the demo command.
type demoOptions struct {
	directory string
	key       string
	region    string
	model     string
	service   string
	call      string
	timeout   time.Duration
}

func demoCommand() command {
	o := demoOptions{
		directory: "http://127.0.0.1:7200",
		key:       "demo-key-svealand",
		region:    "svealand",
		model:     "quilt-care",
		service:   "booking",
		call:      "collect",
		timeout:   30 * time.Second,
	}
	sub := flaggy.NewSubcommand("demo")
	sub.Description = "a caller: one plain chat, one streamed chat, a booking and its repeat"
	sub.String(&o.directory, "", "directory", "base URL of the directory")
	sub.String(&o.key, "", "key", "the customer's API key")
	sub.String(&o.region, "", "region", "region to call first")
	sub.String(&o.model, "", "model", "model to ask")
	sub.String(&o.service, "", "service", "service of the action")
	sub.String(&o.call, "", "call", "call of the action")
	sub.Duration(&o.timeout, "", "timeout", "longest wait for the whole demonstration")
	return command{sub, func(ctx context.Context) error { return runDemo(ctx, o) }}
}

func runDemo(ctx context.Context, o demoOptions) error {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	client, entries, err := awaitGateway(ctx, o)
	if err != nil {
		return err
	}
	chat := caller.ChatBody{
		Model:     o.model,
		Messages:  []caller.Message{{Role: "user", Content: "How do I wash a down quilt with a wine stain?"}},
		MaxTokens: 12,
	}
	a, err := client.Do(ctx, http.MethodPost, "/v1/chat/completions", nil, chat)
	if err != nil {
		return err
	}
	printResponse("plain chat", a)
	s, err := client.Stream(ctx, chat)
	if err != nil {
		return err
	}
	fmt.Printf("streamed chat: %d chunks, whole, first after %s, by %s: %q\n", s.Chunks, s.TTFT.Round(time.Millisecond), s.ServedBy, s.Text)
	return demoBooking(ctx, o, client, entries)
}

// awaitGateway waits until a gateway of the region serves.
func awaitGateway(ctx context.Context, o demoOptions) (*caller.Client, *gateway.EntriesResponse, error) {
	directory := platform.NewHTTPDirectory(o.directory, platform.Options{})
	for {
		client, entries, err := findEntries(ctx, directory, o)
		if err == nil {
			return client, entries, nil
		}
		select {
		case <-ctx.Done():
			return nil, nil, err
		case <-time.After(retryInterval):
		}
	}
}

func findEntries(ctx context.Context, directory platform.Directory, o demoOptions) (*caller.Client, *gateway.EntriesResponse, error) {
	client, err := caller.Find(ctx, directory, o.region, o.key)
	if err != nil {
		return nil, nil, err
	}
	a, err := client.Do(ctx, http.MethodGet, "/v1/entries", nil, nil)
	if err != nil {
		return nil, nil, err
	}
	if a.Status != http.StatusOK {
		return nil, nil, &caller.StatusError{Status: a.Status, Body: string(a.Body)}
	}
	var entries gateway.EntriesResponse
	if err := json.Unmarshal(a.Body, &entries); err != nil {
		return nil, nil, err
	}
	if len(entries.Entries) == 0 || entries.Tickets == nil {
		return nil, nil, &caller.NoGatewayError{}
	}
	client.Address = entries.Entries[0].Address
	return client, &entries, nil
}

// demoBooking runs an action with a ticket, repeats it at another gateway and
// asks for its outcome.
func demoBooking(ctx context.Context, o demoOptions, client *caller.Client, entries *gateway.EntriesResponse) error {
	key := entries.Tickets.Key(entries.Tickets.First)
	header := map[string]string{gateway.HeaderIdempotencyKey: key}
	path := "/v1/actions/" + o.service + "/" + o.call
	body := map[string]string{"reference": "demo-1", "address": "Storgatan 1"}
	a, err := client.Do(ctx, http.MethodPost, path, header, body)
	if err != nil {
		return err
	}
	printResponse("booking", a)
	other := *client
	other.Address = entries.Entries[len(entries.Entries)-1].Address
	a, err = other.Do(ctx, http.MethodPost, path, header, body)
	if err != nil {
		return err
	}
	printResponse("its repeat", a)
	a, err = client.Do(ctx, http.MethodGet, "/v1/actions/"+key, nil, nil)
	if err != nil {
		return err
	}
	printResponse("its outcome", a)
	return nil
}

func printResponse(what string, a *caller.Response) {
	fmt.Printf("%s: status %d in %s, by %s: %s\n", what, a.Status, a.Duration.Round(time.Millisecond), a.ServedBy, strings.TrimSpace(string(a.Body)))
}
