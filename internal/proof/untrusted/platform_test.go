//go:build linux

package untrusted

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const (
	host     = "untrusted.example"
	service  = "desk"
	instance = "i-1"
	// slots is the number of requests that the upstream runs at a time.
	slots = 4
	// workTime is how long the upstream runs a request.
	workTime = 50 * time.Millisecond
	// maxBodyBytes and maxHeaderBytes are the limits of the plan.
	maxBodyBytes   = 64 << 20
	maxHeaderBytes = 16 << 10
	// largePath is the prefix of the paths, and largeUploadPath that of uploads, whose answers have largeAnswerBytes; a node keeps answers of
	// up to 4 MiB whole.
	largePath        = "/read/large/"
	largeUploadPath  = "/upload/large/"
	largeAnswerBytes = 3 << 20
)

const configuration = `{"version":1,"resources":[
{"resourceType":"routes","metadata":{"name":"read"},"spec":{"host":%[1]q,"pathPrefix":"/read/","kind":"idempotent","timeout":"2s","targetLatency":"500ms","service":%[2]q,"maxAttempts":2}},
{"resourceType":"routes","metadata":{"name":"upload"},"spec":{"host":%[1]q,"pathPrefix":"/upload/","kind":"upload","timeout":"20s","targetLatency":"10s","service":%[2]q,"maxAttempts":2}},
{"resourceType":"services","metadata":{"name":%[2]q},"spec":{"healthPath":"/health"}},
{"resourceType":"limits","metadata":{"name":"limits"},"spec":{"maxBodyBytes":%[3]d,"maxHeaderBytes":%[4]d,"headerTimeout":"10s","idleTimeout":"90s"}}]}`

// newStore returns the URL of a metadata store that holds one configuration and no members.
func newStore(t *testing.T) string {
	plan := fmt.Appendf(nil, configuration, host, service, maxBodyBytes, maxHeaderBytes)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		operator := req.URL.Query().Get("topic") == "keyed.op"
		switch req.URL.Path {
		case "/tanagerline/log-append":
			_, _ = io.WriteString(w, `{"offset":0,"endOffset":0}`)
		case "/tanagerline/log-newest":
			items := []any{}
			if operator {
				items = append(items, map[string]any{"key": "config", "value": plan})
			}
			_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "hasMore": false, "endOffset": len(items)})
		case "/tanagerline/log-read":
			readTopic(w, req, operator, plan)
		}
	}))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.URL
}

// readTopic answers a read of a topic. A read from the end waits as the store's do.
func readTopic(w http.ResponseWriter, req *http.Request, operator bool, plan []byte) {
	if !operator || req.URL.Query().Get("from") != "0" {
		select {
		case <-req.Context().Done():
			return
		case <-time.After(2 * time.Second):
		}
	}
	end := uint64(0)
	if operator {
		end = 1
	}
	answer := binary.BigEndian.AppendUint64(nil, end)
	answer = binary.BigEndian.AppendUint64(answer, 0)
	if operator && req.URL.Query().Get("from") == "0" {
		const key = "config"
		answer = binary.BigEndian.AppendUint32(answer, uint32(1+len(key)+len(plan)))
		answer = append(append(append(answer, byte(len(key))), key...), plan...)
	}
	_, _ = w.Write(answer)
}

// upstreamStandIn is an upstream that speaks the platform's protocol.
type upstreamStandIn struct {
	server  *httptest.Server
	control string
	born    int64
	// received is the length of the body of the last request that ran.
	received atomic.Int64
}

func newUpstream(t *testing.T, control string) *upstreamStandIn {
	u := &upstreamStandIn{control: control, born: time.Now().UnixMilli()}
	u.server = httptest.NewServer(u)
	stop := make(chan struct{})
	t.Cleanup(func() {
		close(stop)
		u.server.CloseClientConnections()
		u.server.Close()
	})
	go u.announce(stop)
	return u
}

// announce sends heartbeats to the node.
func (u *upstreamStandIn) announce(stop <-chan struct{}) {
	client := http.Client{Timeout: time.Second}
	for seq := 1; ; seq++ {
		beat, _ := json.Marshal(map[string]any{
			"service": service, "address": u.server.Listener.Addr().String(), "slots": slots, "state": "ready",
			"seq": seq, "born": u.born,
		})
		resp, err := client.Post("http://"+u.control+"/tanagerline/instances/"+instance+"/heartbeat", "application/json", bytes.NewReader(beat))
		if err == nil {
			_ = resp.Body.Close()
		}
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func (u *upstreamStandIn) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("X-Server-Load", fmt.Sprintf("0,0,%d,100", slots))
	if req.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", instance)
		return
	}
	received, err := io.Copy(io.Discard, req.Body)
	if err != nil {
		return
	}
	u.received.Store(received)
	time.Sleep(workTime)
	id := req.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Signature", "signed-"+id)
	if strings.HasPrefix(req.URL.Path, largePath) || strings.HasPrefix(req.URL.Path, largeUploadPath) {
		_, _ = io.CopyN(w, zeros{}, largeAnswerBytes)
		return
	}
	_, _ = io.WriteString(w, "body-"+id)
}
