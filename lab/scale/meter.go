package scale

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// meter counts the bytes of connections, both ways.
type meter struct{ bytes atomic.Int64 }

// dial opens a connection whose bytes the meter counts.
func (m *meter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: conn, meter: m}, nil
}

type meteredConn struct {
	net.Conn
	meter *meter
}

// Read counts what was read.
func (c *meteredConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.meter.bytes.Add(int64(count))
	return count, err
}

// Write counts what was written.
func (c *meteredConn) Write(buffer []byte) (int, error) {
	count, err := c.Conn.Write(buffer)
	c.meter.bytes.Add(int64(count))
	return count, err
}

// ticksPerSecond is the unit of processor time in /proc, fixed by Linux's ABI.
const ticksPerSecond = 100

// usage is what a process has used so far, and holds now.
type usage struct {
	processor time.Duration
	resident  int64
	// read and written count the bytes of its system calls: sockets and files.
	read    int64
	written int64
}

// usageOf reads a process's usage from /proc.
func usageOf(pid int) (usage, error) {
	var result usage
	var err error
	if result.processor, err = processorTime(pid); err != nil {
		return usage{}, err
	}
	if result.resident, err = residentBytes(pid); err != nil {
		return usage{}, err
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return usage{}, errors.Wrap(err, "scale: read usage")
	}
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		count, _ := strconv.ParseInt(value, 10, 64) // the kernel writes numbers
		switch name {
		case "rchar":
			result.read = count
		case "wchar":
			result.written = count
		}
	}
	return result, nil
}

// Fields of /proc/PID/stat after the command's closing parenthesis.
const (
	statUserTime   = 11
	statSystemTime = 12
)

func processorTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "scale: read usage")
	}
	line := string(text)
	fields := strings.Fields(line[strings.LastIndexByte(line, ')')+1:])
	if len(fields) <= statSystemTime {
		return 0, errors.Errorf("scale: /proc/%d/stat has %d fields", pid, len(fields))
	}
	var ticks int64
	for _, field := range []int{statUserTime, statSystemTime} {
		count, err := strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return 0, errors.Wrap(err, "scale: read usage")
		}
		ticks += count
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}

func residentBytes(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, errors.Wrap(err, "scale: read usage")
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, errors.Errorf("scale: /proc/%d/statm has %d fields", pid, len(fields))
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), errors.Wrap(err, "scale: read usage")
}

// ownProcessorTime is this process's, finer than /proc has it.
func ownProcessorTime() time.Duration {
	var spent syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &spent); err != nil {
		return 0 // fails only for arguments that it does not know
	}
	return time.Duration(spent.Utime.Nano() + spent.Stime.Nano())
}
