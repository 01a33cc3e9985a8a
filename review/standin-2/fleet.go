package main

import (
	"encoding/json"
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
	"syscall"
	"time"
)

const (
	healthPath      = "/health"
	heartbeatPeriod = 1500 * time.Millisecond
)

// fleet is a small deployment on loopback addresses.
type fleet struct {
	rec      *recorder
	ledger   *ledger
	store    *store
	dir      string
	network  string
	machines []*machine
	// bounds are the bounds of the site that the deploy file's command line and template name.
	bounds map[string]string
}

// machine is a machine with a server and a node.
type machine struct {
	fleet  *fleet
	name   string
	ip     string
	zone   string
	region string
	ports  map[string]int
	server *appServer
	cmd    *exec.Cmd
	exited chan struct{}
	log    *os.File
}

// newFleet prepares a deployment in a temporary folder.
func newFleet(rec *recorder) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, ledger: &ledger{}, dir: dir, network: fmt.Sprintf("127.%d.%d", 30+rand.IntN(190), 1+rand.IntN(250)), bounds: map[string]string{}}
	f.store, err = startStore(rec, f.network+".250")
	return f, err
}

// add adds a machine with a server of a service, which is not started yet.
func (f *fleet) add(name, service, zone, region string, slots int, work func(*http.Request) time.Duration) (*machine, error) {
	m := &machine{fleet: f, name: name, ip: fmt.Sprintf("%s.%d", f.network, 10+len(f.machines)), zone: zone, region: region, ports: map[string]int{}}
	taken := map[int]bool{}
	for _, use := range []string{"outbound", "peers", "operators", "control", "ready", "metrics", "server"} {
		for m.ports[use] == 0 {
			port, err := freePort(m.ip)
			if err != nil {
				return nil, err
			}
			if !taken[port] {
				m.ports[use], taken[port] = port, true
			}
		}
	}
	m.server = &appServer{
		rec: f.rec, ledger: f.ledger, machine: name, service: service, zone: zone, address: m.address("server"),
		control: m.address("control"), slots: slots, work: work,
	}
	f.machines = append(f.machines, m)
	return m, nil
}

// freePort returns a port of an address that is free for TCP and UDP. It is below the range from which the system takes
// ports for outgoing connections.
func freePort(ip string) (int, error) {
	const first, count = 10_000, 20_000
	for range 50 {
		address := fmt.Sprintf("%s:%d", ip, first+rand.IntN(count))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		port := l.Addr().(*net.TCPAddr).Port
		u, err := net.ListenPacket("udp", address)
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return port, nil
		}
	}
	return 0, errors.New("no free port")
}

func (m *machine) address(use string) string { return fmt.Sprintf("%s:%d", m.ip, m.ports[use]) }

// startNode starts the machine's node with the command and the template of the deploy file.
func (m *machine) startNode() error {
	values := map[string]string{
		"region": m.region, "zone": m.zone, "service": m.server.service, "appAddr": m.address("server"),
		"listen.outbound": m.address("outbound"), "listen.control": m.address("control"), "listen.ready": m.address("ready"),
		"platform.address": m.fleet.store.address, "limits.linkMbps": "1000", "limits.memoryMb": "284", "limits.maxFds": "4100",
		"bounds.retryBudgetRatio": "0.2", "bounds.retryBudgetSlack": "64", "bounds.budgetWindow": "10s",
	}
	for name, value := range m.fleet.bounds {
		values["bounds."+name] = value
	}
	template, err := os.ReadFile("deploy/node.ini.tmpl")
	if err != nil {
		return err
	}
	text := strings.NewReplacer(
		"{{ip}}:{{internalPorts.0}}", m.address("peers"), "{{ip}}:{{internalPorts.1}}", m.address("operators"),
		"{{ip}}:9464", m.address("metrics"),
	).Replace(string(template))
	settings := filepath.Join(m.fleet.dir, m.name+".ini")
	if err := os.WriteFile(settings, []byte(fill(text, values)), 0o600); err != nil {
		return err
	}
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return err
	}
	run := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if run == nil {
		return errors.New("the deploy file has no command")
	}
	words := strings.Fields(fill(string(run[1]), values))
	m.log, err = os.OpenFile(filepath.Join(m.fleet.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = append(os.Environ(), "TANAGERLINE_CONFIG="+settings)
	cmd.Stdout, cmd.Stderr = m.log, m.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.cmd, m.exited = cmd, exited
	m.fleet.rec.add("platform", "node of %s started", m.name)
	go func() {
		_ = cmd.Wait()
		m.fleet.rec.add("platform", "node of %s ended: %v", m.name, cmd.ProcessState)
		close(exited)
	}()
	return nil
}

// fill replaces the placeholders of a text; those without a value become empty.
func fill(text string, values map[string]string) string {
	return regexp.MustCompile(`\{\{[^}]*\}\}`).ReplaceAllStringFunc(text, func(p string) string { return values[strings.Trim(p, "{}")] })
}

func (m *machine) signal(s syscall.Signal) {
	m.fleet.rec.add("platform", "%v to the node of %s", s, m.name)
	_ = m.cmd.Process.Signal(s)
}

// ready asks the node whether it is ready.
func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + m.address("ready") + "/tanagerline/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the node is ready.
func (m *machine) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if m.ready() {
			m.fleet.rec.add("platform", "node of %s is ready", m.name)
			return true
		}
	}
	return false
}

// close ends all processes that the fleet started and removes its folder.
func (f *fleet) close() {
	for _, m := range f.machines {
		if m.cmd == nil {
			continue
		}
		_ = m.cmd.Process.Signal(syscall.SIGCONT)
		_ = m.cmd.Process.Kill()
		<-m.exited
		_ = m.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println(f.dir)
	}
}

// route, serviceEntry and tenantEntry return resources of a configuration.
func route(name, host, prefix, kind, service string, timeout time.Duration) map[string]any {
	return resource("routes", name, map[string]any{
		"host": host, "pathPrefix": prefix, "kind": kind, "timeout": millis(timeout), "targetLatency": "300ms", "priority": 1,
		"service": service, "maxAttempts": 2,
	})
}

func serviceEntry(name string) map[string]any {
	return resource("services", name, map[string]any{"healthPath": healthPath, "maxConnections": 260, "protocol": "h1", "tls": false})
}

func limitsEntry() map[string]any {
	return resource("limits", "", map[string]any{
		"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms",
	})
}

func resource(kind, name string, spec map[string]any) map[string]any {
	return map[string]any{"resourceType": kind, "metadata": map[string]any{"name": name}, "spec": spec}
}

func millis(d time.Duration) string { return fmt.Sprintf("%dms", d.Milliseconds()) }

// publish writes a configuration to the store.
func (f *fleet) publish(version int, resources ...map[string]any) {
	value, _ := json.Marshal(map[string]any{"version": version, "resources": resources})
	f.store.put("keyed.op", "config", value)
	f.rec.add("operator", "configuration %d acknowledged", version)
}
