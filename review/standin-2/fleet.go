package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// errSetup marks a case that could not run.
var errSetup = errors.New("the case could not run")

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// figures are those of a deployment that its settings file names.
type figures struct {
	contactMS, drainMS, configApplyMS, extraRetries int
}

var (
	// smallFigures are those of the site aarenfeld-abo, grownFigures those of aarenfeld-abo-grown.
	smallFigures = figures{contactMS: 3000, drainMS: 2000, configApplyMS: 2000, extraRetries: 196}
	grownFigures = figures{contactMS: 4000, drainMS: 3000, configApplyMS: 3000, extraRetries: 342}
)

// fleet is a small deployment: a store, servers and gateways.
type fleet struct {
	figures  figures
	rec      *record
	root     string
	dir      string
	prefix   string
	store    *store
	gateways []*gateway
	servers  []*server
	// proxies gives each machine its own way to the store.
	proxies bool
}

// gateway is one process of the project.
type gateway struct {
	fleet             *fleet
	name, ip, zone    string
	front, ready      string
	resolver, control string
	settings          string
	// storeProxy is this machine's way to the store; nil if it has none of its own.
	storeProxy *proxy
	cmd        *exec.Cmd
	exited     chan struct{}
}

func newFleet(rec *record, root string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	// Each machine has an address of its own, as peers use the same port on all machines.
	f := &fleet{figures: smallFigures, rec: rec, root: root, dir: dir, prefix: fmt.Sprintf("127.%d.%d.", 40+os.Getpid()%180, os.Getpid()/180%250)}
	if f.store, err = newStore(f.prefix + "1"); err != nil {
		return nil, fmt.Errorf("%w: %w", errSetup, err)
	}
	return f, nil
}

// The ports of a gateway: those between gateways are the first ones, as many as the platform grants.
const (
	peerPorts  = 16
	allPorts   = peerPorts + 4
	firstPort  = 10000
	portBlocks = 1000
	// readyTime is how long a gateway may take to start.
	readyTime = 30 * time.Second
)

// freePorts returns the first of allPorts ports that are free on all machines, below those that channels get at their sending end.
func (f *fleet) freePorts(machines int) (int, error) {
	for range 100 {
		first := firstPort + allPorts*rand.IntN(portBlocks)
		if f.areFree(first, machines) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("%w: no free ports", errSetup)
}

func (f *fleet) areFree(first, machines int) bool {
	for m := range machines {
		for port := range allPorts {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", f.prefix, firstMachine+m, first+port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// firstMachine is the last number of the address of the first gateway.
const firstMachine = 10

// addGateway writes the settings of a gateway with the figures of the site aarenfeld-abo, and starts it.
func (f *fleet) addGateway(peerPort int, count int) (*gateway, error) {
	n := len(f.gateways)
	g := &gateway{fleet: f, name: fmt.Sprintf("front-%d", n+1), ip: f.prefix + strconv.Itoa(firstMachine+n), zone: "mittelland-" + string(rune('a'+n%3))}
	listen := func(port int) string { return fmt.Sprintf("%s:%d", g.ip, peerPort+peerPorts+port) }
	g.front, g.ready, g.resolver, g.control = listen(0), listen(1), listen(2), listen(3)
	storeAddress := f.store.Address
	if f.proxies {
		p, err := newProxy(f.prefix+"2", f.store.Address)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errSetup, err)
		}
		g.storeProxy, storeAddress = p, p.Address
	}
	var seeds []string
	for i := range min(count, 3) {
		seeds = append(seeds, strconv.Quote(fmt.Sprintf("%s%d:%d", f.prefix, firstMachine+i, peerPort+peerPorts+3)))
	}
	text := fmt.Sprintf(`node_name = %q
role = "gateway"
machine_class = "front"
serves = ["front","control","directory"]
ip = %q
zone = %q
region = "ch-mittelland"
internal_port_range = [%d,%d]
seeds = [%s]
first_start = false
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","layers"]
[listen]
front = %q
ready = %q
directory = %q
control = %q
[limits]
cpu_share = 0.8
cores = 1
memory_mb = 544
file_descriptors = 8400
link_mbps = 2000.0
[bounds]
seed_lag_s = 3
address_reuse_s = 2
contact_ms = %d
ack_ms = 4000
catch_up_s = 4
drain_ms = %d
grace_s = 8
loss_slack_ms = 200
config_apply_ms = %d
rollback_slack_ms = 250
max_stretch_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
extra_retries = %d
recovery_s = 12
pass_ms = 120
stall_ms = 2500
require_fencing = false
ttl_max_s = 5
[platform]
address = %q
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
`, g.name, g.ip, g.zone, peerPort, peerPort+peerPorts-1, strings.Join(seeds, ","), g.front, g.ready, g.resolver, g.control,
		f.figures.contactMS, f.figures.drainMS, f.figures.configApplyMS, f.figures.extraRetries, storeAddress)
	g.settings = filepath.Join(f.dir, g.name+".toml")
	if err := os.WriteFile(g.settings, []byte(text), 0o644); err != nil {
		return nil, err
	}
	f.gateways = append(f.gateways, g)
	return g, g.start()
}

func (g *gateway) start() error {
	log, err := os.OpenFile(filepath.Join(g.fleet.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	// The command of the deploy file.
	g.cmd = exec.Command("target/rattantray", "gateway", "start", "--metrics-port", "9464")
	g.cmd.Dir = g.fleet.root
	g.cmd.Env = []string{"RATTANTRAY_BOOT=" + g.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + g.fleet.dir, "LANG=C"}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return fmt.Errorf("%w: %w", errSetup, err)
	}
	exited, cmd := make(chan struct{}), g.cmd
	g.exited = exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

func (g *gateway) signal(s syscall.Signal) {
	g.fleet.rec.printf("%s gets %s", g.name, s)
	_ = g.cmd.Process.Signal(s)
}

func (g *gateway) awaitReady() error {
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + g.ready + "/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%w: %s is not ready", errSetup, g.name)
}

// close ends all processes that the fleet started.
func (f *fleet) close(keepLogs string) {
	for _, g := range f.gateways {
		_ = g.cmd.Process.Kill()
		<-g.exited
		if keepLogs != "" {
			data, _ := os.ReadFile(filepath.Join(f.dir, g.name+".log"))
			_ = os.WriteFile(filepath.Join(keepLogs, g.name+".log"), data, 0o644)
		}
	}
	_ = os.RemoveAll(f.dir)
}

// answer is what a client got.
type answer struct {
	status    int
	header    http.Header
	body      string
	complete  bool
	err       error
	took      time.Duration
	firstByte time.Duration
}

// send sends a request on a new connection, as a client does, and reads its answer to the end.
func send(address, method, path, id, key string, deadlineMS int, extra map[string]string, body string) answer {
	began := time.Now()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	return exchange(c, bufio.NewReader(c), began, method, path, id, key, deadlineMS, extra, body)
}

func exchange(c net.Conn, reader *bufio.Reader, began time.Time, method, path, id, key string, deadlineMS int, extra map[string]string, body string) answer {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: ficu95.example\r\nX-Rattantray-Request-Id: %s\r\nX-Rattantray-Request-Deadline: %d\r\nApi-Key: %s\r\n", method, path, id, deadlineMS, key)
	for name, value := range extra {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if body != "" || method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	_ = c.SetDeadline(began.Add(time.Duration(deadlineMS)*time.Millisecond + 5*time.Second))
	if _, err := io.WriteString(c, b.String()); err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	resp, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	defer resp.Body.Close()
	first := time.Since(began)
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(data), complete: err == nil, err: err, took: time.Since(began), firstByte: first}
}
