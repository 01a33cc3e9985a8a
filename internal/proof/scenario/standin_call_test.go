package scenario

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// callFlags describe one kind of call.
type callFlags struct {
	method    string
	key       string
	kind      string
	timeout   string
	header    string
	body      string
	bodyBytes int64
	slowBody  time.Duration
	count     int
	together  int
	urls      []string
	save      string
	retry     bool
	printKey  bool
	ownPath   bool
	discard   bool
	giveUp    time.Duration
}

// callMain is a caller: it prints status, outcome and body of each call, and for
// many calls a count of each result.
func callMain(args []string) {
	var f callFlags
	flags := flag.NewFlagSet("call", flag.ExitOnError)
	flags.StringVar(&f.method, "method", "GET", "method")
	flags.StringVar(&f.key, "key", "", "idempotency key; @N is replaced by the call's number")
	flags.StringVar(&f.kind, "kind", "", "kind")
	flags.StringVar(&f.timeout, "timeout", "", "what remains")
	flags.StringVar(&f.header, "header", "", "further header, as Name: value")
	flags.StringVar(&f.body, "body", "", "body")
	flags.Int64Var(&f.bodyBytes, "body-bytes", 0, "size of a body of one letter")
	flags.DurationVar(&f.slowBody, "slow-body", 0, "time between the body's parts")
	flags.IntVar(&f.count, "count", 1, "calls")
	flags.IntVar(&f.together, "together", 1, "calls at a time")
	flags.StringVar(&f.save, "save", "", "file for the answer's body")
	flags.BoolVar(&f.retry, "retry", false, "send a call again, with its key, through the next URL where its answer was refused or cut")
	flags.BoolVar(&f.discard, "discard", false, "count the answer's bytes instead of keeping them")
	flags.DurationVar(&f.giveUp, "give-up", 0, "go away after this time, and exit with 1")
	flags.BoolVar(&f.ownPath, "expect-path", false, "add to each result whether the answer names the call's path")
	flags.BoolVar(&f.printKey, "print-key", false, "print only the first issued key of the answer")
	_ = flags.Parse(args)
	f.urls = flags.Args()
	if f.giveUp > 0 {
		time.AfterFunc(f.giveUp, func() { os.Exit(1) })
	}
	if f.count == 1 {
		result, body := f.call(0)
		if f.printKey {
			var issued struct{ Keys []string }
			_ = json.Unmarshal([]byte(body), &issued)
			fmt.Println(strings.Join(issued.Keys, " "))
			return
		}
		fmt.Printf("%s %s", result, body)
		if !strings.HasSuffix(body, "\n") {
			fmt.Println()
		}
		return
	}
	f.many()
}

// many makes the calls and prints how often each result came.
func (f *callFlags) many() {
	var next atomic.Int64
	var mu sync.Mutex
	results := map[string]int{}
	var group sync.WaitGroup
	for range f.together {
		group.Go(func() {
			for {
				n := int(next.Add(1)) - 1
				if n >= f.count {
					return
				}
				result, _ := f.call(n)
				mu.Lock()
				results[result]++
				mu.Unlock()
			}
		})
	}
	group.Wait()
	var lines []string
	for result, count := range results {
		lines = append(lines, fmt.Sprintf("%s x%d", result, count))
	}
	slices.Sort(lines)
	fmt.Println(strings.Join(lines, "\n"))
}

// call makes the call with number n, again where that is asked for.
func (f *callFlags) call(n int) (result, body string) {
	for attempt := range 1 + len(f.urls)*20 {
		result, body = f.callOnce(n, f.urls[(n+attempt)%len(f.urls)])
		again := strings.Contains(result, "not-run") || strings.HasPrefix(result, "refused")
		if !f.retry || !again {
			return result, body
		}
		time.Sleep(20 * time.Millisecond)
	}
	return result, body
}

var client = &http.Client{
	Timeout: time.Minute,
	Transport: &http.Transport{
		MaxIdleConnsPerHost: 64, ExpectContinueTimeout: 30 * time.Second, DisableCompression: true,
	},
}

func (f *callFlags) callOnce(n int, url string) (result, body string) {
	url = strings.ReplaceAll(url, "@N", fmt.Sprint(n))
	req, err := http.NewRequest(f.method, url, f.reader())
	if err != nil {
		return "bad", err.Error()
	}
	if f.bodyBytes > 0 {
		req.ContentLength = f.bodyBytes
	}
	if f.key != "" {
		req.Header.Set("Idempotency-Key", strings.ReplaceAll(f.key, "@N", fmt.Sprint(n)))
	}
	if f.kind != "" {
		req.Header.Set("Tanagerline-Kind", f.kind)
	}
	if f.timeout != "" {
		req.Header.Set("Tanagerline-Timeout", f.timeout)
	}
	if name, value, ok := strings.Cut(f.header, ": "); ok {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return errorResult(err), err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	if f.discard {
		n, err := io.Copy(io.Discard, resp.Body)
		return fmt.Sprintf("%d %s %d bytes", resp.StatusCode, resp.Header.Get("Tanagerline-Outcome"), n), fmt.Sprint(err)
	}
	data, err := io.ReadAll(resp.Body)
	result = fmt.Sprintf("%d %s", resp.StatusCode, resp.Header.Get("Tanagerline-Outcome"))
	if err != nil {
		return result + " cut", string(data)
	}
	if f.ownPath {
		if strings.HasPrefix(string(data), req.URL.Path+" from ") {
			result += " own"
		} else {
			result += " another's"
		}
	}
	if f.save != "" {
		_ = os.WriteFile(f.save, data, 0o600)
		data = nil
	}
	return result, string(data) + headerText(resp)
}

// headerText shows the headers and trailers that scripts look at.
func headerText(resp *http.Response) string {
	var text strings.Builder
	for _, name := range []string{"Tanagerline-Key", "Tanagerline-Upstream", "X-Stand-In", "Retry-After"} {
		if value := resp.Header.Get(name); value != "" {
			fmt.Fprintf(&text, "%s: %s\n", name, value)
		}
	}
	if resp.Close {
		text.WriteString("Connection: close\n")
	}
	if checksum := resp.Trailer.Get("X-Checksum"); checksum != "" {
		fmt.Fprintf(&text, "trailer X-Checksum: %s\n", checksum)
	}
	return text.String()
}

func errorResult(err error) string {
	var refused *net.OpError
	if errors.As(err, &refused) && refused.Op == "dial" {
		return "refused"
	}
	return "error"
}

func (f *callFlags) reader() io.Reader {
	switch {
	case f.bodyBytes > 0:
		return &letters{left: f.bodyBytes, pause: f.slowBody}
	case f.body != "":
		return bytes.NewReader([]byte(f.body))
	default:
		return nil
	}
}

// letters is a body of one letter, slow where that is asked for.
type letters struct {
	left  int64
	pause time.Duration
}

// Read gives the next part of the body.
func (l *letters) Read(p []byte) (int, error) {
	if l.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(l.pause)
	n := min(int64(len(p)), l.left, 16<<10)
	for i := range p[:n] {
		p[i] = 'x'
	}
	l.left -= n
	return int(n), nil
}
