//! Declaration files: TOML with an `[[object]]` table of `kind`, `name` and `spec` for each object.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use yokefall_types::{Declaration, Kind};

#[derive(Clone, Debug)]
pub struct DeclaredObject {
    pub file: PathBuf,
    pub kind: Kind,
    pub name: String,
    /// Parsed specification.
    pub declaration: Declaration,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileObject {
    kind: String,
    name: String,
    spec: toml::Value,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default)]
    object: Vec<FileObject>,
}

/// Reads one file, or every `.toml` file of a folder. Returns services before the back ends that
/// refer to them, and rejects objects that are declared more than once.
pub fn read(path: &Path) -> Result<Vec<DeclaredObject>, String> {
    let mut objects = Vec::new();
    for file in toml_files(path)? {
        objects.extend(read_file(&file)?);
    }
    let mut seen: BTreeMap<(Kind, String), PathBuf> = BTreeMap::new();
    for object in &objects {
        let key = (object.kind, object.name.clone());
        if let Some(first) = seen.insert(key, object.file.clone()) {
            return Err(format!(
                "{}: {} {} is also declared in {}",
                object.file.display(),
                object.kind.name(),
                object.name,
                first.display(),
            ));
        }
    }
    objects.sort_by(|left, right| (left.kind, &left.name).cmp(&(right.kind, &right.name)));
    Ok(objects)
}

fn toml_files(path: &Path) -> Result<Vec<PathBuf>, String> {
    if path.is_file() {
        return Ok(vec![path.to_owned()]);
    }
    let entries =
        std::fs::read_dir(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let mut toml_files: Vec<PathBuf> = entries
        .filter_map(|entry| entry.ok().map(|entry| entry.path()))
        .filter(|file| file.extension().is_some_and(|extension| extension == "toml"))
        .collect();
    toml_files.sort();
    if toml_files.is_empty() {
        return Err(format!("{}: contains no .toml file", path.display()));
    }
    Ok(toml_files)
}

fn read_file(file: &Path) -> Result<Vec<DeclaredObject>, String> {
    let text =
        std::fs::read_to_string(file).map_err(|error| format!("{}: {error}", file.display()))?;
    let parsed: File = toml::from_str(&text)
        .map_err(|error| format!("{}: {}", file.display(), error.to_string().trim_end()))?;
    parsed.object.into_iter().map(|object| parse_object(file, object)).collect()
}

fn parse_object(file: &Path, object: FileObject) -> Result<DeclaredObject, String> {
    let context = format!("{}: {} {}", file.display(), object.kind, object.name);
    let kind = Kind::from_name(&object.kind)
        .ok_or_else(|| format!("{context}: kind: must be Service or Backend"))?;
    let spec =
        serde_json::to_string(&object.spec).map_err(|error| format!("{context}: {error}"))?;
    let declaration =
        Declaration::from_spec_json(kind, &spec).map_err(|error| format!("{context}: {error}"))?;
    Ok(DeclaredObject { file: file.to_owned(), kind, name: object.name, declaration })
}
