/* Service files on the operator's machine.  */

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

/* bd_files_read(): reads FILE or every *.toml of DIR, in order of name, and
   checks them one by one and as a set.  Returns the files on ctx; false after
   adding faults.  */
bool bd_files_read (void *ctx, const char *path,
                    struct bd_service_file **files, uint32_t *count,
                    struct bd_faults *faults);

/* bd_files_check(): checks files as a whole set.  */
bool bd_files_check (void *ctx, const struct bd_service_file *files,
                     uint32_t count, struct bd_faults *faults);

#endif
