package main

import (
	"fmt"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// layers lists the source folders from the lowest layer to the highest. Code other than tests
// imports packages of its own layer and of lower ones only, so that types and helpers that several
// layers share are in a layer below them.
var layers = [][]string{
	{"internal/failure", "internal/clock", "internal/ring"},
	{"internal/model"},
	{"internal/version"},
	{"internal/connection"},
	{"internal/request"},
	{"internal/process"},
}

// layerOf returns the index of a folder's layer, and false for folders that belong to no layer,
// such as commands and test support.
func layerOf(folder string) (int, bool) {
	for i, roots := range layers {
		for _, root := range roots {
			if folder == root || strings.HasPrefix(folder, root+"/") {
				return i, true
			}
		}
	}
	return 0, false
}

// checkLayers reports every import of a higher layer below root.
func checkLayers(root string) ([]string, error) {
	var violations []string
	err := filepath.WalkDir(filepath.Join(root, "internal"), func(path string, entry os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		found, err := checkLayerFile(path, filepath.ToSlash(filepath.Dir(relative)))
		violations = append(violations, found...)
		return err
	})
	return violations, err
}

func checkLayerFile(path, folder string) ([]string, error) {
	ownLayer, ok := layerOf(folder)
	if !ok {
		return nil, nil
	}
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, path, nil, parser.ImportsOnly)
	if err != nil {
		return nil, err
	}
	var violations []string
	for _, spec := range file.Imports {
		name, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			return nil, err
		}
		imported, ok := strings.CutPrefix(name, "pollenpaddle/")
		if !ok {
			continue
		}
		if layer, ok := layerOf(imported); ok && layer > ownLayer {
			violations = append(violations, fmt.Sprintf("%s: %s must not import %s, which is in a higher layer",
				fset.Position(spec.Pos()), folder, imported))
		}
	}
	return violations, nil
}
