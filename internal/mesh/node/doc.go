// Package node joins the parts of one node's process and runs them.
package node
