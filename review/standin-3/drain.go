package main

import (
	"context"
	"syscall"
	"time"
)

// The bounds of the crew training records mesh.
const (
	stabilityBound = 3 * time.Second
	drainBound     = 2 * time.Second
)

// nineMachines are three machines in each of three regions.
var nineMachines = []string{
	"amman-a huvo11a", "amman-a huvo11a", "amman-b huvo11a",
	"irbid-a huvo11a", "irbid-a huvo11a", "irbid-b huvo11a",
	"aqaba-a huvo11a", "aqaba-a huvo11a", "aqaba-b huvo11a",
}

func init() {
	scenarios["leave-then-all-killed"] = scenario{layout: nineMachines, play: leaveThenAllKilled}
	scenarios["born-set-back"] = scenario{layout: nineMachines, play: bornSetBack}
}

// leaveThenAllKilled kills all nodes right after the leaving of a server was acknowledged. The store is up.
func leaveThenAllKilled(f *fleet, rec *recorder, trouble bool) (int, error) {
	f.store.put("keyed.op", "config", configuration(3, "huvo11a"))
	if err := f.startAll(); err != nil {
		return notRun, err
	}
	time.Sleep(8 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := &clients{fleet: f, rec: rec, interval: 50 * time.Millisecond}
	go c.run(ctx, "GET", routeHost, routePath, 0)
	time.Sleep(7 * time.Second)

	server := f.quietMachine().server
	late := server.beatBody()
	asked := elapsed()
	if !server.deregister() {
		rec.say("the leaving of %s was not acknowledged", server.id)
		return notRun, nil
	}
	acknowledged := elapsed()
	if trouble {
		f.signalAll(syscall.SIGKILL)
	}
	rec.say("the leaving of %s was acknowledged after %d ms", server.id, (acknowledged - asked).Milliseconds())
	if trouble {
		rec.say("all nodes were killed")
		for _, m := range f.machines {
			m.awaitEnd()
		}
	}
	time.Sleep(time.Second)
	if trouble {
		for _, m := range f.machines {
			if err := m.start(); err != nil {
				return notRun, err
			}
		}
	}
	inTouch := elapsed() + stabilityBound
	time.Sleep(time.Second)
	rec.say("a heartbeat from before the deregistration arrives: %v", server.post("heartbeat", late))
	time.Sleep(time.Until(started.Add(inTouch)) + 5*time.Second)
	cancel()
	time.Sleep(1200 * time.Millisecond)
	for _, line := range f.store.keys() {
		rec.printf("the store has appended:%s", line)
	}
	return judgeDrain(c, server, max(inTouch, acknowledged+drainBound)), nil
}

// quietMachine returns a machine far from the store whose node has not called the store for the longest time.
func (f *fleet) quietMachine() *machine {
	var quietest *machine
	for _, m := range f.machines {
		l := f.storeLinks[m.name]
		if l != nil && (quietest == nil || l.quietFor() > f.storeLinks[quietest.name].quietFor()) {
			quietest = m
		}
	}
	return quietest
}

// clockAhead is how far the time of day jumps ahead: the step of the site file.
const clockAhead = 2400 * time.Millisecond

// bornSetBack starts a server while its machine's time of day is ahead, and restarts it under its ID right after the time
// of day has jumped back. Some seconds later the server leaves.
func bornSetBack(f *fleet, rec *recorder, trouble bool) (int, error) {
	f.store.put("keyed.op", "config", configuration(3, "huvo11a"))
	if err := f.startAll(); err != nil {
		return notRun, err
	}
	time.Sleep(4 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const period = 1600 * time.Millisecond
	c := &clients{fleet: f, rec: rec, interval: period}
	begun := elapsed()
	go c.run(ctx, "GET", routeHost, routePath, 0)
	// at waits for a moment between the clients' requests, which are sent at whole periods.
	at := func(periods float64) {
		time.Sleep(time.Until(started.Add(begun + time.Duration(periods*float64(period)))))
	}
	server := f.machines[7].server
	offset := time.Duration(0)
	if trouble {
		offset = clockAhead
		rec.say("the time of day of %s jumps ahead by %v", f.machines[7].name, clockAhead)
	}
	at(2.4)
	server.crash()
	if err := server.start(server.id, offset); err != nil {
		return notRun, err
	}
	if trouble {
		rec.say("the time of day of %s jumps back", f.machines[7].name)
	}
	at(3.4)
	server.crash()
	if err := server.start(server.id, 0); err != nil {
		return notRun, err
	}
	restarted := elapsed()
	at(8.4)
	if !server.drain() {
		rec.say("the leaving of %s was not acknowledged", server.id)
		return notRun, nil
	}
	acknowledged := elapsed()
	rec.say("the leaving of %s was acknowledged", server.id)
	at(14.4)
	cancel()
	time.Sleep(1200 * time.Millisecond)
	from := max(acknowledged+drainBound, restarted+stabilityBound)
	return judgeDrain(c, server, from), nil
}

// judgeDrain returns whether requests that clients sent after a moment have reached a server.
func judgeDrain(c *clients, server *appServer, from time.Duration) int {
	later := 0
	for _, r := range server.runsAfter(from) {
		if c.sentAfter(r.id, from) {
			later++
		}
	}
	served, all := c.served(from)
	c.rec.say("%d of the %d requests sent since %.3f s were served", served, all, from.Seconds())
	c.rec.say("of these, %d reached %s, which must get none", later, server.id)
	if later > 0 {
		return ruleBroken
	}
	return ruleHeld
}
