/* Reads service files from the operator's machine.  */

#ifndef BD_CLI_FILES_H
#define BD_CLI_FILES_H

#include "config/service.h"

#include <stdbool.h>
#include <stdint.h>

/* A service file with its text.  */
struct bd_service_file
{
  const char *path;
  const char *text;
  struct bd_service *service;
};

/* bd_files_read(): reads the file path, or every *.toml file of the folder
   path in the order of their names, and checks each of them.  Appends the
   files, allocated on ctx, to *files and adds their number to *count.
   Returns false after adding errors to faults.  */
bool bd_files_read (void *ctx, const char *path,
                    struct bd_service_file **files, uint32_t *count,
                    struct bd_faults *faults);

/* bd_files_check(): checks that the files are consistent as a set.  Returns
   false after adding errors to faults.  */
bool bd_files_check (void *ctx, const struct bd_service_file *files,
                     uint32_t count, struct bd_faults *faults);

#endif
