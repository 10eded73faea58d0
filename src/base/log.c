/* Structured log records through GLib's structured logging.  */

#define G_LOG_DOMAIN "burdockdale"

#include "base/log.h"

#include <glib.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

enum
{
  MAX_FIELDS = 16,
  TIME_SIZE = 40
};

static char process_name_text[64] = "burdockdale";

static void
format_time (char out[TIME_SIZE])
{
  struct timespec now;
  struct tm parts;
  size_t used;

  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &parts);
  used = strftime (out, TIME_SIZE, "%Y-%m-%dT%H:%M:%S", &parts);
  snprintf (out + used, TIME_SIZE - used, ".%03ldZ", now.tv_nsec / 1000000);
}

/* Writes one record as a JSON line.  */
static GLogWriterOutput
write_json (GLogLevelFlags level, const GLogField *fields, gsize n_fields,
            gpointer user_data)
{
  char time_text[TIME_SIZE];
  json_t *line = json_object ();
  char *text;

  (void)level;
  (void)user_data;
  format_time (time_text);
  json_object_set_new (line, "time", json_string (time_text));
  json_object_set_new (line, "process", json_string (process_name_text));
  for (gsize i = 0; i < n_fields; i++)
    {
      if (strcmp (fields[i].key, "PRIORITY") == 0
          || strcmp (fields[i].key, "GLIB_DOMAIN") == 0)
        continue;
      json_object_set_new (line, fields[i].key, json_string (fields[i].value));
    }
  text = json_dumps (line, JSON_COMPACT);
  if (text != NULL)
    fprintf (stderr, "%s\n", text);
  free (text);
  json_decref (line);
  return G_LOG_WRITER_HANDLED;
}

void
bd_log_init (const char *process_name)
{
  snprintf (process_name_text, sizeof process_name_text, "%s", process_name);
  g_log_set_writer_func (write_json, NULL, NULL);
}

void
bd_log (const char *event, ...)
{
  GLogField fields[MAX_FIELDS];
  gsize count = 0;
  va_list args;

  fields[count++] = (GLogField){ "event", event, -1 };
  va_start (args, event);
  while (count < MAX_FIELDS)
    {
      const char *name = va_arg (args, const char *);
      if (name == NULL)
        break;
      fields[count++] = (GLogField){ name, va_arg (args, const char *), -1 };
    }
  va_end (args);
  g_log_structured_array (G_LOG_LEVEL_MESSAGE, fields, count);
}
