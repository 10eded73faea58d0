/* Writes structured log records with GLib's structured logging.  */

#define G_LOG_DOMAIN "burdockdale"

#include "base/log.h"

#include <fcntl.h>
#include <glib.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum
{
  MAX_FIELDS = 24,
  TIME_SIZE = 40,
  /* Rate limits.  The limit for details is lower, so that they leave lines for
     other records.  */
  LINES_PER_S = 400,
  DETAILS_PER_S = 250,
  /* Buffered detail lines are written once they reach this size.  */
  FLUSH_BYTES = 4096,
  /* Bytes buffered for a slow reader; lines beyond it are dropped.  */
  BUFFER_BYTES = 256 * 1024
};

static char process_name_text[64] = "burdockdale";
static char buffer[BUFFER_BYTES];
static size_t buffer_used;
static uint64_t dropped;
static time_t budget_second;
static uint32_t budget_used;

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

/* Writes as much of the buffer as standard output accepts.  The rest stays in
   the buffer: standard output may be a pipe that nobody reads.  */
static void
write_buffered (void)
{
  ssize_t written;

  while (buffer_used > 0)
    {
      written = write (STDOUT_FILENO, buffer, buffer_used);
      if (written <= 0)
        break;
      memmove (buffer, buffer + written, buffer_used - (size_t)written);
      buffer_used -= (size_t)written;
    }
}

static void
append_line (const char *text)
{
  size_t free_bytes = sizeof buffer - buffer_used;
  int size = snprintf (buffer + buffer_used, free_bytes, "%s\n", text);

  if (size < 0 || (size_t)size >= free_bytes)
    {
      dropped++;
      return;
    }
  buffer_used += (size_t)size;
  if (buffer_used >= FLUSH_BYTES)
    write_buffered ();
}

/* Appends one record to the buffer as a JSON line.  */
static GLogWriterOutput
write_json (GLogLevelFlags level, const GLogField *fields, gsize n_fields,
            gpointer user_data)
{
  char time_text[TIME_SIZE];
  json_t *line = json_object ();
  char *text;

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
    append_line (text);
  free (text);
  json_decref (line);
  if (level != G_LOG_LEVEL_INFO)
    write_buffered ();
  return G_LOG_WRITER_HANDLED;
}

static bool
is_within_budget (bool is_detail)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  if (now.tv_sec != budget_second)
    {
      budget_second = now.tv_sec;
      budget_used = 0;
    }
  if (budget_used >= (is_detail ? DETAILS_PER_S : LINES_PER_S))
    {
      dropped++;
      return false;
    }
  budget_used++;
  return true;
}

void
bd_log_init (const char *process_name)
{
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  snprintf (process_name_text, sizeof process_name_text, "%s", process_name);
  if (flags >= 0)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  g_log_set_writer_func (write_json, NULL, NULL);
}

static void
log_fields (GLogLevelFlags level, const char *event, va_list args)
{
  GLogField fields[MAX_FIELDS];
  gsize count = 0;

  fields[count++] = (GLogField){ "event", event, -1 };
  while (count < MAX_FIELDS)
    {
      const char *name = va_arg (args, const char *);
      if (name == NULL)
        break;
      fields[count++] = (GLogField){ name, va_arg (args, const char *), -1 };
    }
  g_log_structured_array (level, fields, count);
}

void
bd_log (const char *event, ...)
{
  va_list args;

  if (!is_within_budget (false))
    return;
  va_start (args, event);
  log_fields (G_LOG_LEVEL_MESSAGE, event, args);
  va_end (args);
}

void
bd_log_detail (const char *event, ...)
{
  va_list args;

  if (!is_within_budget (true))
    return;
  va_start (args, event);
  log_fields (G_LOG_LEVEL_INFO, event, args);
  va_end (args);
}

void
bd_log_flush (void)
{
  write_buffered ();
}

uint64_t
bd_log_dropped (void)
{
  return dropped;
}

char *
bd_number_text (char text[24], int64_t value)
{
  snprintf (text, 24, "%lld", (long long)value);
  return text;
}
