package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// WatchInterval is how often a stand-in asks for its own machine's state.
const WatchInterval = 500 * time.Millisecond

// Watch asks the platform at an address for a machine's true state and reports
// each change until ctx ends; failures are passed over. A stand-in uses it to
// learn that its own machine leaves, before the lagging list tells the rest.
func Watch(ctx context.Context, client *http.Client, address, machine string, interval time.Duration, report func(State)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	last := StateLive
	for {
		if state, known := fetchState(ctx, client, address, machine); known && state != last {
			last = state
			report(state)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func fetchState(ctx context.Context, client *http.Client, address, machine string) (State, bool) {
	path := strings.Replace(PathMachine, "{name}", url.PathEscape(machine), 1)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return "", false
	}
	response, err := client.Do(request)
	if err != nil {
		return "", false
	}
	defer response.Body.Close()
	var state Machine
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&state) != nil {
		return "", false
	}
	return state.State, true
}
