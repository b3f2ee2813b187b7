package control

import (
	"hash/crc32"
	"io/fs"
	"path/filepath"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/process/wal"
	"github.com/landingtrail/landingtrail/request/resume"
	"github.com/pkg/errors"
)

const (
	streamFileName = "streams"
	// maxStreamFileBytes is the size from which the file is written anew with what is still remembered.
	maxStreamFileBytes = 16 << 20
	// streamHeaderBytes is the size of what precedes each report: its length and its checksum.
	streamHeaderBytes = 4 + 4
)

// errDamagedStreams reports a damaged file of streams.
var errDamagedStreams = errors.New("control: stream file is damaged")

// streamFile stores reports of streams in a file. Reports are appended, and the file is written anew from time to
// time. It is not safe for concurrent use.
type streamFile struct {
	files     wal.FileSystem
	path      string
	open      wal.File // nil until the file was written anew by this process
	size      int
	rewriteAt time.Duration
}

func newStreamFile(files wal.FileSystem, folder string) *streamFile {
	return &streamFile{files: files, path: filepath.Join(folder, streamFileName)}
}

// mustRewrite reports whether the file has to be written anew before anything is appended.
func (f *streamFile) mustRewrite(now time.Duration) bool {
	return f.open == nil || now >= f.rewriteAt || f.size >= maxStreamFileBytes
}

// rewrite replaces the file by one with the given reports.
func (f *streamFile) rewrite(now time.Duration, reports []resume.Report) error {
	f.close()
	data := encodeStreamFile(reports)
	if err := wal.WriteFile(f.files, f.path, data); err != nil {
		return err
	}
	file, err := f.files.Append(f.path)
	if err != nil {
		return err
	}
	f.open, f.size, f.rewriteAt = file, len(data), now+resume.Lifetime
	return nil
}

// append adds reports and syncs them. After an error the file has to be written anew.
func (f *streamFile) append(reports []resume.Report) error {
	data := encodeStreamFile(reports)
	_, err := f.open.Write(data)
	if err == nil {
		err = f.open.Sync()
	}
	if err != nil {
		f.close()
		return errors.WithStack(err)
	}
	f.size += len(data)
	return nil
}

// close closes the file, so that it is written anew before the next report is appended.
func (f *streamFile) close() {
	if f.open != nil {
		_ = f.open.Close() // what matters was synced
		f.open = nil
	}
}

// load returns the reports up to the first one that is damaged, as the last one is if the process ended while it was
// written.
func (f *streamFile) load() ([]resume.Report, error) {
	data, err := f.files.ReadFile(f.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return decodeStreamFile(data)
}

func encodeStreamFile(reports []resume.Report) []byte {
	encoder := frame.NewEncoder(nil)
	for _, report := range reports {
		payload := feed.EncodeStreamReport(report)
		encoder.Uint32(uint32(len(payload)))
		encoder.Uint32(crc32.ChecksumIEEE(payload))
		encoder.Raw(payload)
	}
	return encoder.Data()
}

func decodeStreamFile(data []byte) (reports []resume.Report, err error) {
	for len(data) > 0 {
		if len(data) < streamHeaderBytes {
			return reports, errors.Wrap(errDamagedStreams, "truncated")
		}
		header := frame.NewDecoder(data[:streamHeaderBytes])
		length, sum := int64(header.Uint32()), header.Uint32()
		data = data[streamHeaderBytes:]
		if length > int64(len(data)) {
			return reports, errors.Wrap(errDamagedStreams, "truncated")
		}
		payload := data[:length]
		data = data[length:]
		if crc32.ChecksumIEEE(payload) != sum {
			return reports, errors.Wrap(errDamagedStreams, "checksum")
		}
		report, err := feed.DecodeStreamReport(payload)
		if err != nil {
			return reports, err
		}
		if report == nil {
			return reports, errors.Wrap(errDamagedStreams, "another kind of record")
		}
		reports = append(reports, *report)
	}
	return reports, nil
}
