package main

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// watchInterval is the time between two looks at a process's memory.
const watchInterval = 2 * time.Millisecond

// watch kills a process whose memory exceeds a limit, as the platform does, and prints its greatest
// memory when the process has ended. Its arguments are the process's id and the limit in KiB. Only
// anonymous memory counts, so that the program file's own pages don't.
func watch(args []string) error {
	pid, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	limit, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	greatest, killed := 0, false
	for ; ; time.Sleep(watchInterval) {
		now, ok := anonymousKiB(pid)
		if !ok {
			break
		}
		greatest = max(greatest, now)
		if now > limit && !killed {
			killed = true
			if err := syscall.Kill(pid, syscall.SIGKILL); err != nil {
				return err
			}
		}
	}
	fmt.Printf("greatestKiB=%d limitKiB=%d killed=%t\n", greatest, limit, killed)
	return nil
}

// anonymousKiB returns the anonymous memory of a process, or false once it has ended.
func anonymousKiB(pid int) (int, bool) {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, false
	}
	defer func() { _ = f.Close() }()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if text, ok := strings.CutPrefix(lines.Text(), "RssAnon:"); ok {
			n, err := strconv.Atoi(strings.Fields(text)[0])
			return n, err == nil
		}
	}
	return 0, false // a process that has ended and has not been waited for has no memory
}
