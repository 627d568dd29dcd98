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

const (
	platformFolder = "platform"
	platformImport = "pollenpaddle/platform"
	wordsFile      = "platform/words.go"
	// importerFolder is the only folder outside platform that may import it.
	importerFolder = "cmd/pollenpaddled"
)

// checkPlatform checks the Go files below root outside the platform's folder. It reports each string
// literal that contains a path or header of the platform, and each import of the platform outside
// importerFolder.
func checkPlatform(root string) ([]string, error) {
	names, err := platformNames(root)
	if err != nil {
		return nil, err
	}
	var violations []string
	err = filepath.WalkDir(root, func(path string, entry os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if relative == platformFolder || strings.HasPrefix(entry.Name(), ".") && relative != "." {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") {
			return nil
		}
		found, err := checkNames(path, filepath.ToSlash(relative), names)
		violations = append(violations, found...)
		return err
	})
	return violations, err
}

// platformNames returns the paths and headers of the platform, which no other package may contain:
// the constants in wordsFile whose names start with path or header.
func platformNames(root string) ([]string, error) {
	file, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, wordsFile), nil, parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	var names []string
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		constant := spec.Names[0].Name
		if literal, ok := spec.Values[0].(*ast.BasicLit); ok && (strings.HasPrefix(constant, "path") || strings.HasPrefix(constant, "header")) {
			if name, err := strconv.Unquote(literal.Value); err == nil {
				names = append(names, name)
			}
		}
		return true
	})
	if len(names) == 0 {
		return nil, fmt.Errorf("%s defines no paths or headers", wordsFile)
	}
	return names, nil
}

// checkNames checks one file, whose path relative to the module root is relative.
func checkNames(path, relative string, names []string) ([]string, error) {
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, path, nil, parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	var violations []string
	ast.Inspect(file, func(node ast.Node) bool {
		literal, ok := node.(*ast.BasicLit)
		if !ok || literal.Kind != token.STRING {
			return true
		}
		text, err := strconv.Unquote(literal.Value)
		if err != nil {
			return true
		}
		if text == platformImport && filepath.ToSlash(filepath.Dir(relative)) != importerFolder && relative != "tools/importcheck/platform.go" {
			violations = append(violations, fmt.Sprintf("%s: only the daemon's main package may import %s", fset.Position(literal.Pos()), platformImport))
		}
		for _, name := range names {
			if strings.Contains(text, name) {
				violations = append(violations, fmt.Sprintf("%s: %q belongs to the platform; only package platform may contain it", fset.Position(literal.Pos()), name))
			}
		}
		return true
	})
	return violations, nil
}
