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
  /* Rate limits.  Requests and details share the second one; the limit for
     details is lower, so that they leave lines for failures.  */
  STATE_LINES_PER_S = 400,
  REQUEST_LINES_PER_S = 400,
  DETAILS_PER_S = 250,
  /* Buffered detail lines are written once they reach this size.  */
  FLUSH_BYTES = 4096,
  /* Bytes buffered for a slow reader; lines beyond it are dropped.  The last
     part is for changes of state.  */
  BUFFER_BYTES = 256 * 1024,
  STATE_BUFFER_BYTES = 64 * 1024
};

/* Lines of the second that began last.  */
struct budget
{
  time_t second;
  uint32_t state_lines;
  uint32_t request_lines; /* Of requests and details.  */
};

static char process_name_text[64] = "burdockdale";
static char buffer[BUFFER_BYTES];
static size_t buffer_used;
static uint64_t dropped[BD_LOG_KINDS];
static uint64_t reported[BD_LOG_KINDS]; /* Of dropped.  */
static struct budget budget;

static const GLogLevelFlags levels[BD_LOG_KINDS]
    = { [BD_LOG_STATE] = G_LOG_LEVEL_MESSAGE,
        [BD_LOG_REQUEST] = G_LOG_LEVEL_WARNING,
        [BD_LOG_DETAIL] = G_LOG_LEVEL_INFO };

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

static enum bd_log_kind
kind_of (GLogLevelFlags level)
{
  if ((level & G_LOG_LEVEL_INFO) != 0)
    return BD_LOG_DETAIL;
  return (level & G_LOG_LEVEL_WARNING) != 0 ? BD_LOG_REQUEST : BD_LOG_STATE;
}

static void
append_line (enum bd_log_kind kind, const char *text)
{
  size_t limit = kind == BD_LOG_STATE ? sizeof buffer
                                      : sizeof buffer - STATE_BUFFER_BYTES;
  size_t size = strlen (text) + 1;

  if (buffer_used + size > limit)
    {
      dropped[kind]++;
      return;
    }
  memcpy (buffer + buffer_used, text, size - 1);
  buffer[buffer_used + size - 1] = '\n';
  buffer_used += size;
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
    append_line (kind_of (level), text);
  free (text);
  json_decref (line);
  if (kind_of (level) != BD_LOG_DETAIL)
    write_buffered ();
  return G_LOG_WRITER_HANDLED;
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
log_fields (enum bd_log_kind kind, const char *event, va_list args)
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
  g_log_structured_array (levels[kind], fields, count);
}

/* Logs a record whatever the budget is.  */
static void
log_always (const char *event, ...)
{
  va_list args;

  va_start (args, event);
  log_fields (BD_LOG_STATE, event, args);
  va_end (args);
}

/* Logs how many lines were dropped since the last such record.  */
static void
report_dropped (void)
{
  uint64_t counts[BD_LOG_KINDS];
  uint64_t sum = 0;

  for (uint32_t i = 0; i < BD_LOG_KINDS; i++)
    {
      counts[i] = dropped[i] - reported[i];
      sum += counts[i];
    }
  if (sum == 0)
    return;
  memcpy (reported, dropped, sizeof reported);
  log_always ("log-dropped", "state", BD_NUM (counts[BD_LOG_STATE]), "request",
              BD_NUM (counts[BD_LOG_REQUEST]), "detail",
              BD_NUM (counts[BD_LOG_DETAIL]), NULL);
}

/* Renews the budget when a second has begun.  */
static void
renew_budget (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  if (now.tv_sec == budget.second)
    return;
  budget = (struct budget){ .second = now.tv_sec };
  report_dropped ();
}

static bool
is_within_budget (enum bd_log_kind kind)
{
  uint32_t limit = kind == BD_LOG_STATE     ? STATE_LINES_PER_S
                   : kind == BD_LOG_REQUEST ? REQUEST_LINES_PER_S
                                            : DETAILS_PER_S;
  uint32_t *used
      = kind == BD_LOG_STATE ? &budget.state_lines : &budget.request_lines;

  renew_budget ();
  if (*used >= limit)
    {
      dropped[kind]++;
      return false;
    }
  (*used)++;
  return true;
}

void
bd_log (const char *event, ...)
{
  va_list args;

  if (!is_within_budget (BD_LOG_STATE))
    return;
  va_start (args, event);
  log_fields (BD_LOG_STATE, event, args);
  va_end (args);
}

void
bd_log_request (const char *event, ...)
{
  va_list args;

  if (!is_within_budget (BD_LOG_REQUEST))
    return;
  va_start (args, event);
  log_fields (BD_LOG_REQUEST, event, args);
  va_end (args);
}

void
bd_log_detail (const char *event, ...)
{
  va_list args;

  if (!is_within_budget (BD_LOG_DETAIL))
    return;
  va_start (args, event);
  log_fields (BD_LOG_DETAIL, event, args);
  va_end (args);
}

void
bd_log_flush (void)
{
  renew_budget ();
  write_buffered ();
}

void
bd_log_write_out (void)
{
  write_buffered ();
}

uint64_t
bd_log_dropped (enum bd_log_kind kind)
{
  return dropped[kind];
}

char *
bd_number_text (char text[24], int64_t value)
{
  snprintf (text, 24, "%lld", (long long)value);
  return text;
}
