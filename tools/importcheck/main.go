// Command importcheck enforces three rules on the packages of this module:
//
//   - Decision packages are deterministic state machines: of this module they import decision
//     packages only, and they perform no I/O, start no goroutine, use no channel and read no clock.
//   - Only package platform contains the paths and headers of the protocol that the adapter serves
//     (see its package comment), and only the daemon's main package imports it.
//   - A package imports no package of a higher layer (layers.go).
//
// Violations are printed as file:line:column with a message, and the exit status is then 1. The
// exit status is 2 if the check cannot be carried out.
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

// decisionPackages lists the decision packages, relative to the module root. A trailing /... includes
// the packages below.
var decisionPackages = []string{
	"internal/failure",
	"internal/model/...",
	"internal/request/...",
	"internal/version/catalog",
	"internal/version/lease",
	"internal/version/replication",
	"internal/connection/budget",
	"internal/connection/subset",
	"internal/connection/wire",
}

// allowedImports are the third-party packages that a decision package may use.
var allowedImports = []string{
	"github.com/cespare/xxhash/v2",
	"github.com/cockroachdb/errors",
	"github.com/fxamacker/cbor/v2",
	"github.com/google/uuid",
}

// deniedImports are the standard packages that perform I/O, use global state or
// synchronise goroutines, and testing.
var deniedImports = []string{"crypto/rand", "io/fs", "log", "math/rand", "net", "os", "sync", "syscall", "testing"}

// deniedTimeCalls are the functions of package time that read the clock or wait for it.
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

// checkDecisions checks the decision packages below root. A listed folder that is missing is an
// error, because a package that has moved would otherwise no longer be checked.
func checkDecisions(root string) ([]string, error) {
	var violations []string
	for _, pattern := range decisionPackages {
		found, err := checkPackages(filepath.Join(root, pattern))
		if err != nil {
			return nil, err
		}
		violations = append(violations, found...)
	}
	return violations, nil
}

// checkPackages checks one entry of decisionPackages, already joined with the module root.
func checkPackages(pattern string) ([]string, error) {
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
		found, err := checkDecisionFile(path)
		violations = append(violations, found...)
		return err
	})
	return violations, err
}

func checkDecisionFile(path string) ([]string, error) {
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, path, nil, parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	var violations []string
	report := func(node ast.Node, message string) {
		violations = append(violations, fmt.Sprintf("%s: %s", fset.Position(node.Pos()), message))
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
		return isDecisionPackage(module)
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

func isDecisionPackage(name string) bool {
	for _, pattern := range decisionPackages {
		root, recursive := strings.CutSuffix(pattern, "/...")
		if name == root || recursive && strings.HasPrefix(name, root+"/") {
			return true
		}
	}
	return false
}
