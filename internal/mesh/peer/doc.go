// Package peer speaks to the other nodes: Twirp for control, and plain HTTP with
// headers for the calls themselves.
package peer

//go:generate protoc --proto_path=../../.. --go_out=../../.. --go_opt=paths=source_relative --twirp_out=../../.. --twirp_opt=paths=source_relative internal/mesh/peer/peer.proto
