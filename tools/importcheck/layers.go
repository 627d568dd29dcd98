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

// layers lists the folders of the product from the lowest to the highest. Production code of a
// folder imports its own folder and lower ones only, so that shared types and helpers stay below
// the layers that exchange them.
var layers = [][]string{
	{"internal/failure", "internal/clock", "internal/ring"},
	{"internal/model"},
	{"internal/version"},
	{"internal/connection"},
	{"internal/request"},
	{"internal/process"},
}

// layerOf returns the layer of a folder; false for folders outside the layers, such as commands
// and test support.
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

// checkLayers looks below root for imports of a higher layer.
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
		found, err := checkLayer(path, filepath.ToSlash(filepath.Dir(relative)))
		violations = append(violations, found...)
		return err
	})
	return violations, err
}

func checkLayer(path, folder string) ([]string, error) {
	own, ok := layerOf(folder)
	if !ok {
		return nil, nil
	}
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, parser.ImportsOnly)
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
		if layer, ok := layerOf(imported); ok && layer > own {
			violations = append(violations, fmt.Sprintf("%s: %s must not import %s, which is a higher layer",
				files.Position(spec.Pos()), folder, imported))
		}
	}
	return violations, nil
}
