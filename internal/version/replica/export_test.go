package replica

// OpenFileSystem opens a member on a given file system, for tests with injected faults.
var OpenFileSystem = openFileSystem
