package files

import (
	"fmt"
	"strings"

	"github.com/gravitational/trace"
)

// TempSuffix ends the names of files that were not written whole.
const TempSuffix = ".tmp"

// Damage is the error for bytes that were durable once and are no longer
// readable. The folder must not be used: what it answered before is lost.
type Damage struct {
	File string
	// Offset is where the damage starts, in bytes from the file's start.
	Offset int64
	Reason string
}

// Error describes the damage.
func (d Damage) Error() string {
	return fmt.Sprintf("damaged file %s at offset %d: %s", d.File, d.Offset, d.Reason)
}

// Write makes a file durable under its name, whole or not at all.
func Write(fs FS, name string, b []byte) error {
	f, err := fs.Create(name + TempSuffix)
	if err != nil {
		return trace.Wrap(err)
	}
	if _, err = f.Write(b); err == nil {
		err = f.Sync()
	}
	if err := trace.NewAggregate(err, f.Close()); err != nil {
		return err
	}
	if err := fs.Rename(name+TempSuffix, name); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(fs.SyncDir())
}

// numberLen is the number of digits in the name of a numbered file.
const numberLen = 16

// Name returns the name of the file with the number.
func Name(prefix string, n uint64) string { return fmt.Sprintf("%s%0*x", prefix, numberLen, n) }

// Number returns the number of the file of the name, if it is one of the prefix.
func Number(name, prefix string) (n uint64, ok bool) {
	rest, ok := strings.CutPrefix(name, prefix)
	if !ok || len(rest) != numberLen {
		return 0, false
	}
	_, err := fmt.Sscanf(rest, "%016x", &n)
	return n, err == nil && Name(prefix, n) == name
}
