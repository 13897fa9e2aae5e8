package files

import (
	"fmt"
	"strings"

	"github.com/gravitational/trace"
)

// TempSuffix ends the names of files that are still being written, or whose
// writing was interrupted.
const TempSuffix = ".tmp"

// DamageError is the error for data that was once durable and is now missing or
// unreadable. The folder must not be used any more, because acknowledged writes
// and votes may be lost.
type DamageError struct {
	File string
	// Offset is where the damage starts, in bytes from the file's start.
	Offset int64
	Reason string
}

// Error names the file, the offset in bytes and the reason.
func (d DamageError) Error() string {
	return fmt.Sprintf("damaged file %s at offset %d: %s", d.File, d.Offset, d.Reason)
}

// WriteAtomic writes a file atomically: a temporary file is synced and then renamed. The
// file is durable, with its name, when WriteAtomic returns.
func WriteAtomic(fs FS, name string, b []byte) error {
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

// numberDigits is the number of hexadecimal digits in the name of a numbered file.
const numberDigits = 16

// NumberedName returns the file name of the number n: the prefix and 16 hexadecimal digits.
func NumberedName(prefix string, n uint64) string {
	return fmt.Sprintf("%s%0*x", prefix, numberDigits, n)
}

// ParseNumberedName returns the number in a file name. ok is false unless NumberedName makes that name
// from the prefix and a number.
func ParseNumberedName(name, prefix string) (n uint64, ok bool) {
	rest, ok := strings.CutPrefix(name, prefix)
	if !ok || len(rest) != numberDigits {
		return 0, false
	}
	_, err := fmt.Sscanf(rest, "%016x", &n)
	return n, err == nil && NumberedName(prefix, n) == name
}
