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
	"strings"
	"sync"
	"syscall"
	"time"
)

// ports are the ports that are the same on all machines.
type ports struct{ outbound, ready, control, app, internal0, internal1, store, link int }

// machine is one machine with a node and an application server.
type machine struct {
	name, ip, zone, region, service string
	ports                           ports
	fleet                           *fleet
	server                          *appServer

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	starts  int
}

func (m *machine) addr(port int) string       { return fmt.Sprintf("%s:%d", m.ip, port) }
func (m *machine) appAddr() string            { return m.addr(m.ports.app) }
func (m *machine) controlAddr() string        { return m.addr(m.ports.control) }
func (m *machine) outboundAddr() string       { return m.addr(m.ports.outbound) }
func (m *machine) setting(name string) string { return m.fleet.settings(m)[name] }

// fleet is a small deployment.
type fleet struct {
	root, folder string
	rec          *recorder
	machines     []*machine
	store        *store
	// run is the command of the deploy file, template its settings.
	run, template string
	// storeLinks holds the links to the store of the machines in regions that it does not stand in, by name.
	storeLinks map[string]*link
	// bounds holds settings that replace the usual ones.
	bounds map[string]string
	binary string
}

// storeRegion is the region that the store stands in, and regionDelay the one-way delay to it from other regions.
const (
	storeRegion = "amman"
	regionDelay = 12 * time.Millisecond
)

// usualSettings are the fields of the platform's settings that do not differ between machines, as on the sheet of
// the crew training records mesh.
var usualSettings = map[string]string{
	"bounds.retryBudgetRatio": "0.2", "bounds.retryBudgetSlack": "64", "bounds.budgetWindow": "10s", "bounds.grace": "6s",
	"limits.linkMbps": "1000.0", "limits.memoryMb": "284", "limits.maxFds": "4100",
}

func (f *fleet) settings(m *machine) map[string]string {
	settings := map[string]string{
		"region": m.region, "zone": m.zone, "service": m.service, "appAddr": m.appAddr(), "ip": m.ip,
		"listen.outbound": m.outboundAddr(), "listen.control": m.controlAddr(), "listen.ready": m.addr(m.ports.ready),
		"internalPorts.0": fmt.Sprint(m.ports.internal0), "internalPorts.1": fmt.Sprint(m.ports.internal1),
		"platform.address": f.store.address,
	}
	if l := f.storeLinks[m.name]; l != nil {
		settings["platform.address"] = l.address
	}
	for name, value := range usualSettings {
		settings[name] = value
	}
	for name, value := range f.bounds {
		settings[name] = value
	}
	return settings
}

var placeholder = regexp.MustCompile(`\{\{([^}]*)\}\}`)

// fill replaces the placeholders of a text by a machine's settings.
func (f *fleet) fill(text string, m *machine) string {
	settings := f.settings(m)
	return placeholder.ReplaceAllStringFunc(text, func(match string) string {
		return settings[strings.Trim(match, "{}")]
	})
}

// newFleet reads the deploy file and lays out machines; each entry of layout is "zone service".
func newFleet(root string, rec *recorder, layout []string) (*fleet, error) {
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile(filepath.Join(root, "deploy", "node.ini.tmpl"))
	if err != nil {
		return nil, err
	}
	command := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if command == nil {
		return nil, errors.New("deploy/system.toml has no run line")
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, folder: folder, rec: rec, run: string(command[1]), template: string(template), bounds: map[string]string{}}
	ips := make([]string, len(layout))
	net3 := 1 + rand.IntN(250)
	for i := range layout {
		ips[i] = fmt.Sprintf("127.77.%d.%d", net3, 10+i)
	}
	p, err := freePorts(append([]string{"127.0.0.1"}, ips...))
	if err != nil {
		return nil, err
	}
	f.store = newStore(fmt.Sprintf("127.0.0.1:%d", p.store))
	f.storeLinks = map[string]*link{}
	for i, entry := range layout {
		zone, service, _ := strings.Cut(entry, " ")
		region, _, _ := strings.Cut(zone, "-")
		m := &machine{name: fmt.Sprintf("sidecar-%s-%d", zone, i), ip: ips[i], zone: zone, region: region, service: service, ports: p, fleet: f}
		if region != storeRegion {
			f.storeLinks[m.name] = &link{address: m.addr(p.link), target: f.store.address, delay: regionDelay}
		}
		m.server = &appServer{machine: m, rec: rec, slots: 6, work: 60 * time.Millisecond}
		f.machines = append(f.machines, m)
	}
	return f, nil
}

// freePorts returns ports that are free on all IPs. The metrics port is fixed by the deploy file's template.
func freePorts(ips []string) (ports, error) {
	for range 50 {
		base := 20000 + rand.IntN(9000)
		p := ports{outbound: base, ready: base + 1, control: base + 2, app: base + 3, internal0: base + 4, internal1: base + 5, store: base + 6, link: base + 7}
		if allFree(ips, base, 8) {
			return p, nil
		}
	}
	return ports{}, errors.New("no free ports")
}

func allFree(ips []string, base, count int) bool {
	for _, ip := range ips {
		for port := base; port < base+count; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// start starts the node of a machine with the command of the deploy file.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.fleet
	settings := filepath.Join(f.folder, m.name+".ini")
	if err := os.WriteFile(settings, []byte(f.fill(f.template, m)), 0o600); err != nil {
		return err
	}
	words := strings.Fields(f.run)
	for i := range words {
		words[i] = f.fill(words[i], m)
	}
	if f.binary != "" {
		words[0] = f.binary
	}
	m.starts++
	output, err := os.Create(filepath.Join(f.folder, fmt.Sprintf("%s.%d.log", m.name, m.starts)))
	if err != nil {
		return err
	}
	command := exec.Command(filepath.Join(f.root, words[0]), words[1:]...)
	if filepath.IsAbs(words[0]) {
		command = exec.Command(words[0], words[1:]...)
	}
	command.Dir = f.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TANAGERLINE_CONFIG=" + settings}
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.command, m.ended = command, ended
	f.rec.printf("node %s started, pid %d", m.name, command.Process.Pid)
	go func() {
		err := command.Wait()
		_ = output.Close()
		f.rec.printf("node %s ended: %v", m.name, err)
		close(ended)
	}()
	return nil
}

// signal sends a signal to the machine's node.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	command, ended := m.command, m.ended
	m.mu.Unlock()
	if command == nil {
		return
	}
	select {
	case <-ended:
		return
	default:
	}
	_ = command.Process.Signal(s)
	m.fleet.rec.printf("signal %v to node %s", s, m.name)
}

func (m *machine) awaitEnd() {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// ready reports whether the platform's question for readiness gets a 200.
func (m *machine) ready() bool {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + m.addr(m.ports.ready) + "/tanagerline/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startAll starts the store, all nodes and all servers, and waits until the nodes are ready.
func (f *fleet) startAll() error {
	if err := f.store.run(); err != nil {
		return err
	}
	for _, l := range f.storeLinks {
		if err := l.run(); err != nil {
			return err
		}
	}
	for i, m := range f.machines {
		if err := m.start(); err != nil {
			return err
		}
		if err := m.server.start(fmt.Sprintf("i-%08x", 0x7f3a0000+i), 0); err != nil {
			return err
		}
	}
	return f.awaitReady(10 * time.Second)
}

func (f *fleet) awaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, m := range f.machines {
		for !m.ready() {
			if time.Now().After(until) {
				return fmt.Errorf("node %s is not ready; its log is in %s", m.name, f.folder)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// signalAll sends a signal to all nodes.
func (f *fleet) signalAll(s syscall.Signal) {
	for _, m := range f.machines {
		m.signal(s)
	}
}

// end ends all processes that were started, and removes their logs unless KEEP is set.
func (f *fleet) end() {
	f.signalAll(syscall.SIGKILL)
	for _, m := range f.machines {
		m.awaitEnd()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("logs in", f.folder)
	}
}
