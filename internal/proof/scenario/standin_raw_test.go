package scenario

import (
	"flag"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// rawMain sends bytes over TCP and prints what comes back, then "closed".
func rawMain(args []string) {
	flags := flag.NewFlagSet("raw", flag.ExitOnError)
	pad := flags.Int("pad", 0, "letters to add to the text")
	hold := flags.Int("hold", 0, "connections to open and keep for a while")
	deaf := flags.Duration("deaf", 0, "time to read nothing before going away")
	_ = flags.Parse(args)
	if *hold > 0 {
		for range *hold {
			if conn, err := net.Dial("tcp", flags.Arg(0)); err == nil {
				defer func() { _ = conn.Close() }()
			}
		}
		time.Sleep(2 * time.Second)
		return
	}
	conn, err := net.Dial("tcp", flags.Arg(0))
	if err != nil {
		fmt.Println(err)
		return
	}
	text := strings.NewReplacer(`\r`, "\r", `\n`, "\n").Replace(flags.Arg(1)) + strings.Repeat("x", *pad)
	go func() { _, _ = io.WriteString(conn, text) }()
	if *deaf > 0 {
		time.Sleep(*deaf)
		_ = conn.Close()
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	data, err := io.ReadAll(conn)
	fmt.Println(string(data))
	if err == nil || !strings.Contains(err.Error(), "timeout") {
		fmt.Println("closed")
	}
}
