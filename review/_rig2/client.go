package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"
)

// tally counts what clients got.
type tally struct{ sent, served int }

// clients sends one request each 100 ms until ctx ends: it asks the directory where to go, as
// PROTOCOL.md says, and sends the request there with a deadline of 3 s.
func (w *world) clients(ctx context.Context, core []*machine) tally {
	var count tally
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	outcomes := map[string]int{}
	for ctx.Err() == nil {
		count.sent++
		outcome := w.request(client, core, fmt.Sprintf("%016x", rand.Uint64()))
		outcomes[outcome]++
		if outcome == "200" {
			count.served++
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	w.note("clients: %d requests, %d served; outcomes %v", count.sent, count.served, outcomes)
	return count
}

// request sends one request and returns what became of it.
func (w *world) request(client *http.Client, core []*machine, id string) string {
	addresses := w.resolve(core)
	if len(addresses) == 0 {
		return "nowhere to go"
	}
	request, err := http.NewRequest(http.MethodGet, "http://"+addresses[rand.IntN(len(addresses))]+"/look/"+id, nil)
	if err != nil {
		return err.Error()
	}
	request.Host = "stmt.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Request-Deadline", "3000")
	response, err := client.Do(request)
	if err != nil {
		return "no answer"
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK && response.Header.Get("Server-Signature") == "" {
		return "200 without signature"
	}
	return fmt.Sprint(response.StatusCode)
}

// resolve asks up to three daemons that serve the directory, each for a second.
func (w *world) resolve(core []*machine) []string {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, i := range rand.Perm(len(core))[:3] {
		query := url.Values{"name": {"stmt.example"}, "region": {"region-1"}, "zone": {"zone-a"}}
		response, err := client.Get("http://" + w.at(core[i].ip, portDirectory) + "/resolve?" + query.Encode())
		if err != nil {
			continue
		}
		var answer struct{ Addresses []string }
		err = json.NewDecoder(response.Body).Decode(&answer)
		response.Body.Close()
		if err == nil && len(answer.Addresses) > 0 {
			return answer.Addresses
		}
	}
	return nil
}
