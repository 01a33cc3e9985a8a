// Package caller implements the entry role's HTTP server. It accepts callers' requests, sends
// attempts to guards as the reducer decides, and relays the answers. A call with a key whose
// home is another node is forwarded to that node.
package caller
