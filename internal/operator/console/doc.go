// Package console speaks to operators: status, service-level burn, explanations,
// metrics and health.
package console

//go:generate protoc --proto_path=../../.. --go_out=../../.. --go_opt=paths=source_relative --twirp_out=../../.. --twirp_opt=paths=source_relative internal/operator/console/console.proto
