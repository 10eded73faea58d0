/* Reads and checks service files.  */

#include "cli/files.h"

#include <dirent.h>
#include <fnmatch.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <talloc.h>

static void
add_file (void *ctx, const char *path, struct bd_service_file **files,
          uint32_t *count, struct bd_faults *faults)
{
  size_t size = 0;
  char *text = bd_file_read (ctx, path, &size);
  struct bd_service_file *file;

  if (text == NULL)
    {
      bd_faults_add (faults, path, 0, "cannot be read");
      return;
    }
  *files = talloc_realloc (ctx, *files, struct bd_service_file, *count + 1);
  file = &(*files)[*count];
  file->path = talloc_strdup (ctx, path);
  file->text = text;
  file->service = bd_service_parse (ctx, path, text, size, faults);
  if (file->service != NULL)
    (*count)++;
}

static int
is_service_file (const struct dirent *entry)
{
  return fnmatch ("*.toml", entry->d_name, 0) == 0;
}

bool
bd_files_read (void *ctx, const char *path, struct bd_service_file **files,
               uint32_t *count, struct bd_faults *faults)
{
  struct stat status;
  struct dirent **names = NULL;
  uint32_t faults_before = faults->count;
  int entry_count;

  if (stat (path, &status) != 0 || !S_ISDIR (status.st_mode))
    {
      add_file (ctx, path, files, count, faults);
      return faults->count == faults_before;
    }
  entry_count = scandir (path, &names, is_service_file, alphasort);
  if (entry_count <= 0)
    bd_faults_add (faults, path, 0, "holds no service files (*.toml)");
  for (int i = 0; i < entry_count; i++)
    {
      char *name = talloc_asprintf (ctx, "%s/%s", path, names[i]->d_name);
      add_file (ctx, name, files, count, faults);
      free (names[i]);
    }
  free (names);
  return faults->count == faults_before;
}

bool
bd_files_check (void *ctx, const struct bd_service_file *files, uint32_t count,
                struct bd_faults *faults)
{
  struct bd_service **services
      = talloc_array (ctx, struct bd_service *, count + 1);

  for (uint32_t i = 0; i < count; i++)
    services[i] = files[i].service;
  return bd_services_check (services, count, faults);
}
