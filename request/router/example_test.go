package router_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/landingtrail/landingtrail/request/router"
	"github.com/landingtrail/landingtrail/version/api"
)

func ExampleRouter_Route() {
	snapshot := router.Snapshot{Endpoints: []*router.Endpoint{
		{Name: "engine-1", Role: api.RoleMixed, Model: "narrator-7b", Admits: true, Load: router.Load{Running: 30, WaitingTokens: 9000}},
		{Name: "engine-2", Role: api.RoleMixed, Model: "narrator-7b", Admits: true},
		{Name: "engine-3", Role: api.RoleMixed, Model: "narrator-7b", Admits: false},
	}}
	request := router.Request{Class: "caption", Model: "narrator-7b", PromptTokens: 300, OutputTokens: 40, Deadline: 5 * time.Second}
	random := rand.New(rand.NewPCG(1, 2))

	decision, reason := router.New(router.Config{}).Route(snapshot, request, random)
	fmt.Println(decision.Target.Name, reason == router.ReasonNone)

	request.Model = "unknown"
	_, reason = router.New(router.Config{}).Route(snapshot, request, random)
	fmt.Println(reason)
	// Output:
	// engine-2 true
	// unknown_model
}
