package storage

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"sort"

	"golang.org/x/sys/unix"
)

// File is an open file of the data folder.
type File interface {
	io.Writer
	io.Closer
	// Sync makes the written data durable.
	Sync() error
	// Truncate cuts the file to size; later writes go to the new end.
	Truncate(size int64) error
}

// FileSystem gives access to the data folder. Names are relative to the folder. Tests replace it to
// inject faults.
type FileSystem interface {
	// ReadFile returns the content of a file.
	ReadFile(name string) ([]byte, error)
	// Create creates an empty file for writing, or empties an existing one.
	Create(name string) (File, error)
	// Append opens a file for writing at its end.
	Append(name string) (File, error)
	// Rename renames a file, replacing the target.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(name string) error
	// List returns the names of all files, sorted.
	List() ([]string, error)
	// SyncDirectory makes creations, renames and removals durable.
	SyncDirectory() error
	// Lock takes the exclusive lock of the data folder, which is held until the result is closed.
	Lock(name string) (io.Closer, error)
	// Path returns the full path of a file for error messages.
	Path(name string) string
}

// ErrLocked is returned by Lock if another process holds the lock.
var ErrLocked = errors.New("locked by another process")

// folder implements FileSystem with a folder of the operating system.
type folder struct{ path string }

// OpenFolder returns the data folder at path, which is created if it is missing.
func OpenFolder(path string) (FileSystem, error) {
	if err := os.MkdirAll(path, 0o750); err != nil {
		return nil, err
	}
	return folder{path: path}, syncDirectory(filepath.Dir(path))
}

func (f folder) Path(name string) string                  { return filepath.Join(f.path, name) }
func (f folder) ReadFile(name string) ([]byte, error)     { return os.ReadFile(f.Path(name)) }
func (f folder) Rename(from, to string) error             { return os.Rename(f.Path(from), f.Path(to)) }
func (f folder) Remove(name string) error                 { return os.Remove(f.Path(name)) }
func (f folder) SyncDirectory() error                     { return syncDirectory(f.path) }
func (f folder) Create(name string) (File, error)         { return f.open(name, os.O_CREATE|os.O_TRUNC) }
func (f folder) Append(name string) (File, error)         { return f.open(name, 0) }
func (f folder) open(name string, flag int) (File, error) { return open(f.Path(name), flag) }

func open(path string, flag int) (File, error) {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND|flag, 0o640)
	if err != nil {
		return nil, err
	}
	return file, nil
}

func (f folder) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		if !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

func (f folder) Lock(name string) (io.Closer, error) {
	file, err := os.OpenFile(f.Path(name), os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = file.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, ErrLocked
		}
		return nil, err
	}
	return file, nil
}

func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = directory.Close() }()
	return directory.Sync()
}
