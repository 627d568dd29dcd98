// Command importcheck enforces three rules. Decision packages are deterministic state machines: they
// import no shell package, start no goroutine, use no channel and read no clock. And only package
// platform knows the names of the users' platform: no other package imports it, apart from the
// daemon's wiring, or holds one of its paths and headers in a string. The third rule is the order
// of the layers (layers.go). The command exits with status 1 and lists every violation as
// file:line.
package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// corePackages lists the decision packages, relative to the module root. A trailing /... covers
// the packages below.
var corePackages = []string{
	"internal/failure",
	"internal/model/...",
	"internal/request/...",
	"internal/version/catalog",
	"internal/version/lease",
	"internal/version/replication",
	"internal/connection/wire",
}

// allowedImports are the third-party packages that a decision package may use.
var allowedImports = []string{
	"github.com/cespare/xxhash/v2",
	"github.com/cockroachdb/errors",
	"github.com/fxamacker/cbor/v2",
	"github.com/google/uuid",
}

// deniedImports are the standard packages that perform I/O or hide global state.
var deniedImports = []string{"crypto/rand", "io/fs", "log", "math/rand", "net", "os", "sync", "syscall", "testing"}

// deniedTimeCalls are the functions of package time that read or wait on a clock.
var deniedTimeCalls = map[string]bool{
	"After": true, "AfterFunc": true, "NewTicker": true, "NewTimer": true,
	"Now": true, "Since": true, "Sleep": true, "Tick": true, "Until": true,
}

func main() {
	var violations []string
	for _, check := range []func(root string) ([]string, error){checkDecisions, checkPlatform, checkLayers} {
		found, err := check(".")
		if err != nil {
			fmt.Fprintln(os.Stderr, "importcheck:", err)
			os.Exit(2)
		}
		violations = append(violations, found...)
	}
	for _, violation := range violations {
		fmt.Println(violation)
	}
	if len(violations) > 0 {
		os.Exit(1)
	}
}

// checkDecisions looks below root at the decision packages. A listed folder that is missing is an error:
// the rule would no longer bind a package that has moved.
func checkDecisions(root string) ([]string, error) {
	var violations []string
	for _, pattern := range corePackages {
		found, err := checkPattern(filepath.Join(root, pattern))
		if err != nil {
			return nil, err
		}
		violations = append(violations, found...)
	}
	return violations, nil
}

func checkPattern(pattern string) ([]string, error) {
	root, recursive := strings.CutSuffix(pattern, "/...")
	var violations []string
	err := filepath.WalkDir(root, func(path string, entry os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if path != root && !recursive {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		found, err := checkFile(path)
		violations = append(violations, found...)
		return err
	})
	return violations, err
}

func checkFile(path string) ([]string, error) {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	var violations []string
	report := func(node ast.Node, message string) {
		violations = append(violations, fmt.Sprintf("%s: %s", files.Position(node.Pos()), message))
	}
	for _, spec := range file.Imports {
		name, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			return nil, err
		}
		if !importAllowed(name) {
			report(spec, "a decision package must not import "+name)
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch n := node.(type) {
		case *ast.GoStmt:
			report(n, "a decision package must not start a goroutine")
		case *ast.ChanType:
			report(n, "a decision package must not use channels")
		case *ast.SelectStmt:
			report(n, "a decision package must not use select")
		case *ast.SelectorExpr:
			if ident, ok := n.X.(*ast.Ident); ok && ident.Name == "time" && deniedTimeCalls[n.Sel.Name] {
				report(n, "a decision package must not call time."+n.Sel.Name)
			}
		}
		return true
	})
	return violations, nil
}

func importAllowed(name string) bool {
	if module, ok := strings.CutPrefix(name, "pollenpaddle/"); ok {
		return isCore(module)
	}
	for _, allowed := range allowedImports {
		if name == allowed {
			return true
		}
	}
	if first, _, _ := strings.Cut(name, "/"); strings.Contains(first, ".") {
		return false
	}
	for _, denied := range deniedImports {
		if name == denied || strings.HasPrefix(name, denied+"/") {
			return name == "math/rand/v2"
		}
	}
	return true
}

func isCore(name string) bool {
	for _, pattern := range corePackages {
		root, recursive := strings.CutSuffix(pattern, "/...")
		if name == root || recursive && strings.HasPrefix(name, root+"/") {
			return true
		}
	}
	return false
}
