// Package report writes what operators read: tables and pictures.
package report
