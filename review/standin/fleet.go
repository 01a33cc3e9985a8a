package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// fleet is a small deployment: a store, and machines with a server and a node each.
type fleet struct {
	program, template, root, folder string
	log                             *record
	trouble                         bool

	store    *store
	machines []*machine
	// port is the first of the ports that are the same on all machines.
	port int
	runs runLedger
	// over is set once the case ends: no node starts any more.
	over atomic.Bool
}

// The ports of a machine, counted from fleet.port.
const (
	portCallers = iota
	portReady
	portControl
	portServer
	portPeers
	portOperators
	portMetrics
	portCount
)

// machine is one VM: a loopback address, a server and the node beside it.
type machine struct {
	fleet   *fleet
	name    string
	ip      string
	zone    string
	service string
	server  *server
	// announced is where the other nodes reach this one; empty is its own address.
	announced string
	relay     *relay

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan error
	logs   *os.File
	// ownEnds counts how often the node has ended though nobody stopped it.
	ownEnds int
}

func (m *machine) address(port int) string { return m.ip + ":" + strconv.Itoa(m.fleet.port+port) }

// build makes a machine for each of the services, which may repeat. It starts the servers and
// the store but no node.
func (f *fleet) build(services ...string) error {
	if _, err := os.Stat(f.program); err != nil {
		return err
	}
	f.store = newStore(f.log)
	if err := f.store.listen(); err != nil {
		return err
	}
	count := map[string]int{}
	for i, service := range services {
		count[service]++
		f.machines = append(f.machines, &machine{
			fleet: f, name: fmt.Sprintf("%s-%d", service, count[service]), ip: fmt.Sprintf("127.0.7.%d", i+1), service: service,
			zone: []string{"amman-a", "amman-b"}[i%2],
		})
	}
	if err := f.choosePorts(); err != nil {
		return err
	}
	for _, m := range f.machines {
		m.server = newServer(m)
		if err := m.server.start("i-" + m.name); err != nil {
			return err
		}
	}
	return nil
}

// choosePorts picks ports that are free on every machine, below those that the kernel gives
// to connections.
func (f *fleet) choosePorts() error {
	for range 200 {
		f.port = 12_000 + rand.IntN(18_000)
		if f.portsFree() {
			return nil
		}
	}
	return errors.New("no ports are free")
}

func (f *fleet) portsFree() bool {
	for _, m := range f.machines {
		for port := range int(portCount) {
			listener, err := net.Listen("tcp", m.address(port))
			if err != nil {
				return false
			}
			_ = listener.Close()
			packets, err := net.ListenPacket("udp", m.address(port))
			if err != nil {
				return false
			}
			_ = packets.Close()
		}
	}
	return true
}

var placeholder = regexp.MustCompile(`\{\{[^}]*\}\}`)

// settings fills the project's own template as the platform does, with the bounds and limits
// of the site lccrt-mesh.
func (m *machine) settings() (string, error) {
	text, err := os.ReadFile(m.fleet.template)
	if err != nil {
		return "", err
	}
	values := map[string]string{
		"region": "amman", "zone": m.zone, "service": m.service, "appAddr": m.address(portServer),
		"ip": m.ip, "listen.outbound": m.address(portCallers), "listen.control": m.address(portControl),
		"listen.ready": m.address(portReady), "internalPorts.0": strconv.Itoa(m.fleet.port + portPeers),
		"internalPorts.1": strconv.Itoa(m.fleet.port + portOperators), "platform.address": m.fleet.store.address,
		"bounds.retryBudgetRatio": "0.2", "bounds.retryBudgetSlack": "64", "bounds.budgetWindow": "10s",
		"limits.linkMbps": "1000.0",
	}
	unknown := ""
	filled := placeholder.ReplaceAllStringFunc(string(text), func(p string) string {
		value, ok := values[strings.Trim(p, "{} ")]
		if !ok {
			unknown = p
		}
		return value
	})
	if unknown != "" {
		return "", fmt.Errorf("the template has a placeholder that the stand-in doesn't know: %s", unknown)
	}
	// The port for metrics stands in the template; here it is one that is free.
	filled = strings.Replace(filled, m.ip+":9464", m.address(portMetrics), 1)
	if m.announced != "" {
		filled = strings.Replace(filled, "[listen]\n", "[listen]\npeers_announced = "+m.announced+"\n", 1)
	}
	return filled, nil
}

// startNode starts the program as the deploy file does.
func (m *machine) startNode() error {
	text, err := m.settings()
	if err != nil {
		return err
	}
	path := filepath.Join(m.fleet.folder, m.name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fleet.over.Load() {
		return errors.New("the case is over")
	}
	if m.logs == nil {
		if m.logs, err = os.Create(filepath.Join(m.fleet.folder, m.name+".log")); err != nil {
			return err
		}
	}
	cmd := exec.Command(m.fleet.program, "node")
	cmd.Dir = m.fleet.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TANAGERLINE_CONFIG=" + path}
	cmd.Stdout, cmd.Stderr = m.logs, m.logs
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	m.cmd, m.exited = cmd, exited
	m.fleet.log.printf("node %s starts, pid %d", m.name, cmd.Process.Pid)
	return nil
}

// signal sends a signal to the machine's node.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fleet.log.printf("node %s gets %s", m.name, s)
	_ = m.cmd.Process.Signal(s)
}

// awaitExit waits until the node has ended, and kills it after within.
func (m *machine) awaitExit(within time.Duration) {
	m.mu.Lock()
	exited, process := m.exited, m.cmd.Process
	m.mu.Unlock()
	select {
	case err := <-exited:
		m.fleet.log.printf("node %s has ended: %v", m.name, err)
	case <-time.After(within):
		_ = process.Kill()
		m.fleet.log.printf("node %s is killed after %s: %v", m.name, within, <-exited)
	}
}

// restartUntil starts the node again, after a short delay, each time that it ends by itself.
func (m *machine) restartUntil(stop <-chan struct{}, ended *atomic.Int64) {
	for {
		m.mu.Lock()
		exited := m.exited
		m.mu.Unlock()
		select {
		case <-stop:
			return
		case err := <-exited:
			m.ownEnds++
			ended.Add(1)
			m.fleet.log.printf("node %s ended by itself: %v; its last words: %s", m.name, err, m.lastWords())
		}
		time.Sleep(500 * time.Millisecond)
		if err := m.startNode(); err != nil {
			m.fleet.log.printf("node %s can't be started: %v", m.name, err)
			return
		}
	}
}

// lastWords returns the line of the node's output that tells of a panic, or nothing.
func (m *machine) lastWords() string {
	data, _ := os.ReadFile(filepath.Join(m.fleet.folder, m.name+".log"))
	at := strings.LastIndex(string(data), "\npanic: ")
	if at < 0 {
		return ""
	}
	line, _, _ := strings.Cut(string(data[at+1:]), "\n")
	return line
}

// startNodes starts all nodes and waits until each is ready and knows its upstream's service.
func (f *fleet) startNodes() error {
	for _, m := range f.machines {
		if err := m.startNode(); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if err := m.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	// Members learn of each other, and heartbeats are due each 1.5 s.
	time.Sleep(4 * time.Second)
	return nil
}

// awaitReady waits until the node answers the platform's question with 200.
func (m *machine) awaitReady(within time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + m.address(portReady) + "/tanagerline/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			m.fleet.log.printf("node %s is ready", m.name)
			return nil
		}
	}
	return fmt.Errorf("node %s was not ready after %s", m.name, within)
}

// end stops what the case started.
func (f *fleet) end() {
	f.over.Store(true)
	for _, m := range f.machines {
		m.mu.Lock()
		if m.cmd != nil {
			_ = m.cmd.Process.Kill()
		}
		m.mu.Unlock()
	}
	for _, m := range f.machines {
		if m.exited != nil {
			select {
			case err := <-m.exited:
				f.log.printf("node %s is ended with the case: %v", m.name, err)
			case <-time.After(time.Second):
			}
		}
		if m.server != nil {
			m.server.close()
		}
		if m.logs != nil {
			_ = m.logs.Close()
		}
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			data, _ := os.ReadFile(filepath.Join(f.folder, m.name+".log"))
			_ = os.WriteFile(filepath.Join(keep, m.name+".log"), data, 0o600)
		}
	}
	if f.store != nil {
		f.store.close()
	}
}

// machine returns the machine of that name.
func (f *fleet) machine(name string) *machine {
	for _, m := range f.machines {
		if m.name == name {
			return m
		}
	}
	panic("no machine " + name)
}

// runLedger holds what the servers ran, by request ID.
type runLedger struct {
	mu   sync.Mutex
	runs map[string][]run
}

// run is one run of a request; it began when a server began to work on it.
type run struct {
	server, instance string
	at               time.Time
	body             string
	bodyBytes        int
}

func (l *runLedger) add(id string, r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = map[string][]run{}
	}
	l.runs[id] = append(l.runs[id], r)
}

func (l *runLedger) of(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs[id]...)
}
