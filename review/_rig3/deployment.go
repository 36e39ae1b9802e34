package main

import "fmt"

// plannerWorkers is the number of workers of the service depot-planner.
const plannerWorkers = 12

// streamRoute is the route of long plans, which may be resumed.
func streamRoute() map[string]any {
	return map[string]any{
		"name": "season-plan", "host": host, "prefix": "/stream/plan/", "kind": "streaming", "timeout-ms": 12000, "target-latency-ms": 1200,
		"priority": 1, "service": "depot-planner", "max-attempts": 2, "sticky": true, "resumable": true, "gap-aim-ms": 600, "home-regions": []string{},
	}
}

func plannerService() map[string]any {
	return map[string]any{
		"name": "depot-planner", "health-path": "/health", "max-connections": 370, "cold-start-s": 3.0, "cold-per-s": 2.4,
		"engine": map[string]any{"slots": 64, "kv-capacity-tokens": 443746, "stride": 8},
	}
}

func (w *world) addPlanners(change func(*workerOptions)) error {
	for i := range plannerWorkers {
		o := workerOptions{
			ID: fmt.Sprintf("i-planner-%d", i), Service: "depot-planner", Zone: "selenge-a", Version: "v1", Slots: 64, Queue: 192,
			WorkMillis: 200, Events: 48, StepMillis: 80,
		}
		change(&o)
		if _, err := w.addWorker(o); err != nil {
			return err
		}
	}
	return nil
}

// shortRoute is the route of short questions, which may not be resumed.
func shortRoute() map[string]any {
	return map[string]any{
		"name": "breach-triage", "host": host, "prefix": "/stream/triage/", "kind": "streaming", "timeout-ms": 3000, "target-latency-ms": 800,
		"priority": 0, "service": "depot-planner", "max-attempts": 1, "sticky": true, "resumable": false, "gap-aim-ms": 600, "home-regions": []string{},
	}
}

// plainRoute is the route of stock lookups.
func plainRoute() map[string]any {
	return map[string]any{
		"name": "stock-lookup", "host": host, "prefix": "/stock/", "kind": "idempotent", "timeout-ms": 1500, "target-latency-ms": 500,
		"priority": 2, "service": "dispatch-desk", "max-attempts": 2, "home-regions": []string{},
	}
}

func plainService() map[string]any {
	return map[string]any{"name": "dispatch-desk", "health-path": "/health", "max-connections": 110, "cold-start-s": 0.0, "cold-per-s": 0.0}
}
