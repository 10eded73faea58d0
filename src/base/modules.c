/* Reads which modules are loaded from the dynamic linker.  */

#include "base/modules.h"

#include <elf.h>
#include <errno.h>
#include <glib.h>
#include <link.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

enum
{
  NOTE_ALIGNMENT = 4
};

static void
read_name (struct bd_module *module, const char *path)
{
  char *name;

  /* The dynamic linker has no path of the program.  */
  if (path == NULL || path[0] == '\0')
    path = program_invocation_short_name;
  name = g_path_get_basename (path);
  snprintf (module->name, sizeof module->name, "%s", name);
  g_free (name);
}

static size_t
align_note (size_t size)
{
  return (size + NOTE_ALIGNMENT - 1) & ~(size_t)(NOTE_ALIGNMENT - 1);
}

static void
format_build_id (struct bd_module *module, const unsigned char *id,
                 size_t size)
{
  for (size_t i = 0; i < size && i * 2 + 2 < sizeof module->build_id; i++)
    snprintf (module->build_id + i * 2, 3, "%02x", id[i]);
}

/* Reads the build id from the notes of a segment.  */
static void
read_notes (struct bd_module *module, const char *notes, size_t size)
{
  size_t used = 0;

  while (used + sizeof (ElfW (Nhdr)) <= size)
    {
      const ElfW (Nhdr) *note = (const void *)(notes + used);
      size_t name = used + sizeof *note;
      size_t data = name + align_note (note->n_namesz);

      used = data + align_note (note->n_descsz);
      if (used > size)
        return;
      if (note->n_type == NT_GNU_BUILD_ID
          && note->n_namesz == sizeof ELF_NOTE_GNU
          && memcmp (notes + name, ELF_NOTE_GNU, sizeof ELF_NOTE_GNU) == 0)
        format_build_id (module, (const unsigned char *)notes + data,
                         note->n_descsz);
    }
}

static void
read_segments (struct bd_module *module, const struct dl_phdr_info *info)
{
  module->base = info->dlpi_addr;
  module->start = UINTPTR_MAX;
  for (uint32_t i = 0; i < info->dlpi_phnum; i++)
    {
      const ElfW (Phdr) *segment = &info->dlpi_phdr[i];
      uintptr_t start = info->dlpi_addr + segment->p_vaddr;

      if (segment->p_type == PT_NOTE)
        read_notes (module, (const char *)start, segment->p_memsz);
      if (segment->p_type != PT_LOAD)
        continue;
      if (start < module->start)
        module->start = start;
      if (start + segment->p_memsz > module->end)
        module->end = start + segment->p_memsz;
    }
}

static int
handle_module (struct dl_phdr_info *info, size_t size, void *ctx)
{
  struct bd_modules *modules = ctx;
  struct bd_module *module;

  (void)size;
  if (modules->count == BD_MODULES_MAX)
    return 1;
  module = &modules->modules[modules->count++];
  read_name (module, info->dlpi_name);
  read_segments (module, info);
  return 0;
}

void
bd_modules_read (struct bd_modules *modules)
{
  memset (modules, 0, sizeof *modules);
  dl_iterate_phdr (handle_module, modules);
}

const struct bd_module *
bd_modules_find (const struct bd_modules *modules, uintptr_t address)
{
  for (uint32_t i = 0; i < modules->count; i++)
    if (address >= modules->modules[i].start
        && address < modules->modules[i].end)
      return &modules->modules[i];
  return NULL;
}
