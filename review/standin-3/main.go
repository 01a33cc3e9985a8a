// Command standin3 plays the scripted cases of the third review: it starts the project's nodes as
// separate processes beside stand-ins for the platform's store, servers and clients.
package main

import (
	"encoding/json"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// play is a case; trouble is false for the play without the disruption.
type play func(f *fleet, rec *recorder, trouble bool) (int, error)

// scenario is a case with its machines, each named by zone and service.
type scenario struct {
	layout []string
	play   play
}

var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) != 4 {
		fmt.Println("usage: standin3 CASE PROJECT-ROOT RECORD")
		os.Exit(notRun)
	}
	s, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Println("unknown case", os.Args[1])
		os.Exit(notRun)
	}
	os.Exit(runScenario(s, os.Args[2], os.Args[3]))
}

func runScenario(s scenario, root, path string) int {
	rec, err := newRecorder(path)
	if err != nil {
		fmt.Println(err)
		return notRun
	}
	f, err := newFleet(root, rec, s.layout)
	if err != nil {
		rec.say("%v", err)
		return notRun
	}
	f.binary = os.Getenv("NODE")
	defer f.end()
	code, err := s.play(f, rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.say("the case could not run: %v", err)
		return notRun
	}
	return code
}

const (
	routeHost = "jepu9.example"
	routePath = "/lepu270/2f"
)

// configuration returns a configuration with an idempotent route to a service.
func configuration(version int, service string) []byte {
	data, _ := json.Marshal(map[string]any{"version": version, "resources": []any{
		map[string]any{"resourceType": "routes", "metadata": map[string]any{"name": "record-lookup"}, "spec": map[string]any{
			"host": routeHost, "pathPrefix": "/lepu270/", "kind": "idempotent", "service": service, "timeout": "1500ms",
			"targetLatency": "250ms", "priority": 2, "maxAttempts": 2,
		}},
		map[string]any{"resourceType": "routes", "metadata": map[string]any{"name": "cert-entry"}, "spec": map[string]any{
			"host": "hulo84.example", "pathPrefix": "/xapu221/", "kind": "non_idempotent", "service": service, "timeout": "1500ms",
			"targetLatency": "300ms", "priority": 1, "maxAttempts": 2,
		}},
		map[string]any{"resourceType": "services", "metadata": map[string]any{"name": service}, "spec": map[string]any{
			"healthPath": healthPath, "maxConnections": 260,
		}},
		map[string]any{"resourceType": "limits", "metadata": map[string]any{"name": "limits"}, "spec": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 8388608, "headerTimeout": "5s", "idleTimeout": "60s",
		}},
	}})
	return data
}
