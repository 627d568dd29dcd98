// Package faultfs is an in-memory data folder with fault injection, for tests of package storage and
// of the packages that use it. It distinguishes synced from unsynced content: Crash keeps the former
// and removes, truncates or damages the latter.
package faultfs

import (
	"io"
	"io/fs"
	"math/rand/v2"
	"sort"
	"sync/atomic"

	"golang.org/x/sys/unix"

	"pollenpaddle/internal/version/storage"
)

// inode is the content of a file, shared by all names and handles that refer to it.
type inode struct {
	data   []byte
	synced []byte
}

// FS is an in-memory data folder. It is not safe for concurrent use.
type FS struct {
	names       map[string]*inode // directory entries as running processes see them
	syncedNames map[string]*inode // durable directory entries
	locked      bool
	random      *rand.Rand
	epoch       int // incremented by Crash and Wipe; handles of an earlier epoch belong to a crashed process

	// Full makes writes fail as on a full disk. Unlike the other fields, it may be set from any goroutine.
	Full atomic.Bool
	// Space is the number of bytes that may still be written; negative means no limit.
	Space int
	// FailSyncs is how many of the following syncs fail with an input/output error.
	FailSyncs int
	// FailWrite is how many of the following writes stop half-way with an input/output error.
	FailWrite int
	// FullSyncs and FullRenames are how many of the following syncs of files and renames fail for lack of space.
	FullSyncs, FullRenames int
	// Syncs counts the syncs of files.
	Syncs int
	// KillAfter is the number of further changes of files and names that take effect before the process is killed;
	// negative means no limit. Every later change fails and has no effect until Kill or Crash.
	KillAfter int
}

// New returns an empty data folder. The seed determines which unsynced content a crash destroys.
func New(seed uint64) *FS {
	return &FS{names: map[string]*inode{}, syncedNames: map[string]*inode{}, random: rand.New(rand.NewPCG(seed, 1)), Space: -1, KillAfter: -1}
}

// Kill ends the process that uses the data folder. The operating system continues, so everything that was written
// stays, synced or not.
func (f *FS) Kill() {
	f.epoch++
	f.locked = false
	f.KillAfter = -1
}

// isKilled counts a change and reports whether it comes after the kill that KillAfter sets.
func (f *FS) isKilled() bool {
	if f.KillAfter > 0 {
		f.KillAfter--
		return false
	}
	return f.KillAfter == 0
}

// Crash ends the process that uses the data folder. Unsynced bytes at the end of a file are lost from
// a random position on; some of the remaining ones may be zeroed, as when blocks reach the disk out of
// order.
func (f *FS) Crash() {
	f.Kill()
	f.names = map[string]*inode{}
	for _, name := range sortedKeys(f.syncedNames) {
		n := f.syncedNames[name]
		kept := append([]byte(nil), n.synced...)
		if len(n.data) > len(n.synced) && string(n.data[:len(n.synced)]) == string(n.synced) {
			tail := append([]byte(nil), n.data[len(n.synced):]...)
			tail = tail[:f.random.IntN(len(tail)+1)]
			if len(tail) > 0 && f.random.IntN(2) == 0 {
				clear(tail[:f.random.IntN(len(tail))])
			}
			kept = append(kept, tail...)
		}
		recovered := &inode{data: kept, synced: append([]byte(nil), kept...)}
		f.names[name], f.syncedNames[name] = recovered, recovered
	}
}

// Wipe removes all content, as when the disk is replaced.
func (f *FS) Wipe() {
	f.epoch++
	f.locked = false
	f.names, f.syncedNames = map[string]*inode{}, map[string]*inode{}
}

// Image is a copy of the durable content.
type Image map[string][]byte

// Save returns a copy of the durable content, like a backup.
func (f *FS) Save() Image {
	image := Image{}
	for name, n := range f.syncedNames {
		image[name] = append([]byte(nil), n.synced...)
	}
	return image
}

// Load replaces the content with an image and ends the process that uses the data folder.
func (f *FS) Load(image Image) {
	f.Wipe()
	for name, data := range image {
		n := &inode{data: append([]byte(nil), data...), synced: append([]byte(nil), data...)}
		f.names[name], f.syncedNames[name] = n, n
	}
}

// Damage inverts one byte of a file.
func (f *FS) Damage(name string, offset int) {
	n := f.names[name]
	n.data[offset] ^= 0xff
	n.synced = append([]byte(nil), n.data...)
}

// Path implements storage.FileSystem.
func (f *FS) Path(name string) string { return "memory/" + name }

// ReadFile implements storage.FileSystem.
func (f *FS) ReadFile(name string) ([]byte, error) {
	n, ok := f.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return append([]byte(nil), n.data...), nil
}

// Create implements storage.FileSystem.
func (f *FS) Create(name string) (storage.File, error) {
	if f.isKilled() {
		return nil, unix.EIO
	}
	if f.Space == 0 || f.Full.Load() {
		return nil, unix.ENOSPC
	}
	n := &inode{}
	f.names[name] = n
	return &handle{fs: f, inode: n, epoch: f.epoch}, nil
}

// Append implements storage.FileSystem.
func (f *FS) Append(name string) (storage.File, error) {
	n, ok := f.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return &handle{fs: f, inode: n, epoch: f.epoch}, nil
}

// Rename implements storage.FileSystem.
func (f *FS) Rename(from, to string) error {
	if f.isKilled() {
		return unix.EIO
	}
	n, ok := f.names[from]
	if !ok {
		return fs.ErrNotExist
	}
	if f.FullRenames > 0 {
		f.FullRenames--
		return unix.ENOSPC
	}
	f.names[to] = n
	delete(f.names, from)
	return nil
}

// Remove implements storage.FileSystem.
func (f *FS) Remove(name string) error {
	if f.isKilled() {
		return unix.EIO
	}
	if _, ok := f.names[name]; !ok {
		return fs.ErrNotExist
	}
	delete(f.names, name)
	return nil
}

// List implements storage.FileSystem.
func (f *FS) List() ([]string, error) { return sortedKeys(f.names), nil }

// SyncDirectory implements storage.FileSystem.
func (f *FS) SyncDirectory() error {
	if f.isKilled() || f.failsSync() {
		return unix.EIO
	}
	f.syncedNames = make(map[string]*inode, len(f.names))
	for name, n := range f.names {
		f.syncedNames[name] = n
	}
	return nil
}

// Lock implements storage.FileSystem.
func (f *FS) Lock(string) (io.Closer, error) {
	if f.locked {
		return nil, storage.ErrLocked
	}
	f.locked = true
	return unlocker{f}, nil
}

func (f *FS) failsSync() bool {
	if f.FailSyncs > 0 {
		f.FailSyncs--
		return true
	}
	return false
}

type unlocker struct{ fs *FS }

func (u unlocker) Close() error {
	u.fs.locked = false
	return nil
}

// handle is an open file. Writes by a crashed process fail and have no effect.
type handle struct {
	fs    *FS
	inode *inode
	epoch int
}

func (h *handle) Write(data []byte) (int, error) {
	if h.epoch != h.fs.epoch || h.fs.isKilled() {
		return 0, unix.EIO
	}
	if h.fs.Full.Load() {
		return 0, unix.ENOSPC
	}
	n, err := len(data), error(nil)
	if h.fs.FailWrite > 0 {
		h.fs.FailWrite--
		n, err = n/2, unix.EIO
	}
	if h.fs.Space >= 0 && n > h.fs.Space {
		n, err = h.fs.Space, unix.ENOSPC
	}
	if h.fs.Space >= 0 {
		h.fs.Space -= n
	}
	h.inode.data = append(h.inode.data, data[:n]...)
	return n, err
}

func (h *handle) Sync() error {
	h.fs.Syncs++
	if h.epoch != h.fs.epoch || h.fs.isKilled() || h.fs.failsSync() {
		return unix.EIO
	}
	if h.fs.FullSyncs > 0 {
		h.fs.FullSyncs--
		return unix.ENOSPC
	}
	h.inode.synced = append([]byte(nil), h.inode.data...)
	return nil
}

func (h *handle) Truncate(size int64) error {
	if h.fs.isKilled() {
		return unix.EIO
	}
	h.inode.data = h.inode.data[:size:size]
	return nil
}

func (h *handle) Close() error { return nil }

func sortedKeys(m map[string]*inode) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
