/* Stand-ins of the second review.  */

#include "stand.h"

#include <arpa/inet.h>
#include <errno.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum
{
  MAX_OBJECTS = 256,
  MAX_CHANGES = 4096,
  MAX_DAEMONS = 8,
  READY_TIMEOUT_MS = 15000,
  READY_POLL_US = 100000,
  FIRST_REVISION = 10
};

struct object
{
  char kind[STAND_NAME_SIZE];
  char name[STAND_NAME_SIZE];
  json_t *value; /* NULL once it is removed.  */
  int64_t revision;
};

struct change
{
  int64_t revision;
  char kind[STAND_NAME_SIZE];
  json_t *event;
};

static struct
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  struct object objects[MAX_OBJECTS];
  size_t object_count;
  struct change changes[MAX_CHANGES];
  size_t change_count;
  int64_t revision;
  int64_t era;
  bool is_away;
  struct object copied[MAX_OBJECTS];
  size_t copied_count;
  size_t copied_changes;
  int64_t copied_revision;
} store = { .lock = PTHREAD_MUTEX_INITIALIZER,
            .changed = PTHREAD_COND_INITIALIZER,
            .revision = FIRST_REVISION,
            .era = 1 };

static struct
{
  const char *folder;
  FILE *record;
  pthread_mutex_t lock;
  int64_t start_ms;
  int network;
  pid_t daemons[MAX_DAEMONS];
  size_t daemon_count;
} stand = { .lock = PTHREAD_MUTEX_INITIALIZER };

static int64_t
clock_ms (clockid_t id)
{
  struct timespec now;

  clock_gettime (id, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t
stand_now_ms (void)
{
  return clock_ms (CLOCK_MONOTONIC) - stand.start_ms;
}

void
stand_record (const char *format, ...)
{
  va_list arguments;

  pthread_mutex_lock (&stand.lock);
  va_start (arguments, format);
  fprintf (stand.record, "%7lld ms  ", (long long)stand_now_ms ());
  vfprintf (stand.record, format, arguments);
  fputc ('\n', stand.record);
  fflush (stand.record);
  va_end (arguments);
  pthread_mutex_unlock (&stand.lock);
}

void
stand_fail (const char *what)
{
  stand_record ("cannot run: %s (%s)", what, strerror (errno));
  fprintf (stderr, "cannot run: %s\n", what);
  exit (stand_end (2));
}

void
stand_init (const char *folder)
{
  char path[512];

  signal (SIGPIPE, SIG_IGN);
  stand.folder = folder;
  stand.start_ms = clock_ms (CLOCK_MONOTONIC);
  stand.network = (int)getpid ();
  snprintf (path, sizeof path, "%s/record.txt", folder);
  stand.record = fopen (path, "w");
  if (stand.record == NULL)
    {
      perror (path);
      exit (2);
    }
}

const char *
stand_address (int number)
{
  static _Thread_local char addresses[4][INET_ADDRSTRLEN];
  static _Thread_local unsigned next;
  char *address = addresses[next++ % 4];

  snprintf (address, INET_ADDRSTRLEN, "127.%d.%d.%d",
            128 + (stand.network >> 8 & 63), stand.network & 255, number);
  return address;
}

bool
stand_send (int fd, const void *data, size_t size)
{
  const char *next = data;

  while (size > 0)
    {
      ssize_t sent = send (fd, next, size, MSG_NOSIGNAL);

      if (sent <= 0)
        return false;
      next += sent;
      size -= (size_t)sent;
    }
  return true;
}

bool
stand_read_head (int fd, struct stand_head *head)
{
  char length[STAND_NAME_SIZE];
  char *end;

  while ((end = memmem (head->text, head->read, "\r\n\r\n", 4)) == NULL)
    {
      ssize_t got;

      if (head->read + 1 >= sizeof head->text)
        return false;
      got = recv (fd, head->text + head->read,
                  sizeof head->text - 1 - head->read, 0);
      if (got <= 0)
        return false;
      head->read += (size_t)got;
    }
  head->size = (size_t)(end - head->text) + 4;
  stand_field (head, "Content-Length", length, sizeof length);
  head->body_bytes = strtoul (length, NULL, 10);
  return true;
}

void
stand_field (const struct stand_head *head, const char *name, char *out,
             size_t size)
{
  size_t name_bytes = strlen (name);
  const char *line = memchr (head->text, '\n', head->size);

  out[0] = '\0';
  while (line != NULL && line + 1 < head->text + head->size)
    {
      const char *start = line + 1;
      size_t left = head->size - (size_t)(start - head->text);

      line = memchr (start, '\n', left);
      if (left <= name_bytes || strncasecmp (start, name, name_bytes) != 0
          || start[name_bytes] != ':')
        continue;
      start += name_bytes + 1;
      start += strspn (start, " ");
      snprintf (out, size, "%.*s", (int)strcspn (start, "\r\n"), start);
      return;
    }
}

void
stand_next (struct stand_head *head, size_t body_bytes)
{
  size_t used = head->size + body_bytes;

  if (used > head->read)
    used = head->read;
  memmove (head->text, head->text + used, head->read - used);
  head->read -= used;
  head->size = 0;
}

static int
listen_at (const char *address, int port, int receive_bytes)
{
  struct sockaddr_in at = { .sin_family = AF_INET };
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  at.sin_port = htons ((uint16_t)port);
  inet_pton (AF_INET, address, &at.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (receive_bytes > 0)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                sizeof receive_bytes);
  if (bind (fd, (struct sockaddr *)&at, sizeof at) != 0
      || listen (fd, 64) != 0)
    stand_fail ("listen");
  return fd;
}

int
stand_connect (const char *address, int port)
{
  struct sockaddr_in at = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  at.sin_port = htons ((uint16_t)port);
  inet_pton (AF_INET, address, &at.sin_addr);
  if (connect (fd, (struct sockaddr *)&at, sizeof at) == 0)
    return fd;
  close (fd);
  return -1;
}

struct listener
{
  int fd;
  void (*handle) (int fd);
};

struct accepted
{
  int fd;
  void (*handle) (int fd);
};

static void *
run_connection (void *argument)
{
  struct accepted accepted = *(struct accepted *)argument;

  free (argument);
  accepted.handle (accepted.fd);
  return NULL;
}

static void *
run_listener (void *argument)
{
  struct listener *listener = argument;

  for (;;)
    {
      struct accepted *accepted = malloc (sizeof *accepted);
      pthread_t thread;

      *accepted = (struct accepted){
        accept4 (listener->fd, NULL, NULL, SOCK_CLOEXEC), listener->handle
      };
      if (accepted->fd < 0
          || pthread_create (&thread, NULL, run_connection, accepted) != 0)
        stand_fail ("accept");
      pthread_detach (thread);
    }
  return NULL;
}

static void
serve (const char *address, int port, int receive_bytes,
       void (*handle) (int fd))
{
  struct listener *listener = malloc (sizeof *listener);
  pthread_t thread;

  *listener
      = (struct listener){ listen_at (address, port, receive_bytes), handle };
  if (pthread_create (&thread, NULL, run_listener, listener) != 0)
    stand_fail ("thread");
  pthread_detach (thread);
}

/* The store.  Its functions are called with the lock held.  */

static struct object *
find_object (const char *kind, const char *name)
{
  for (size_t i = 0; i < store.object_count; i++)
    if (strcmp (store.objects[i].kind, kind) == 0
        && strcmp (store.objects[i].name, name) == 0)
      return &store.objects[i];
  return NULL;
}

static json_t *
write_object (const char *kind, const char *name, json_t *spec)
{
  struct object *object = find_object (kind, name);
  struct change *change = &store.changes[store.change_count++];

  if (object == NULL)
    {
      object = &store.objects[store.object_count++];
      snprintf (object->kind, sizeof object->kind, "%s", kind);
      snprintf (object->name, sizeof object->name, "%s", name);
    }
  if (store.object_count >= MAX_OBJECTS || store.change_count >= MAX_CHANGES)
    stand_fail ("the store is full");
  json_decref (object->value);
  object->revision = ++store.revision;
  object->value
      = json_pack ("{s:{s:s,s:I,s:I,s:[],s:b},s:O,s:n}", "Metadata", "Name",
                   name, "Revision", (json_int_t)object->revision, "Created",
                   (json_int_t)object->revision, "Finalizers",
                   "DeletionPending", 0, "Spec", spec, "Status");
  change->revision = store.revision;
  snprintf (change->kind, sizeof change->kind, "%s", kind);
  change->event
      = json_pack ("{s:b,s:O}", "Deleted", 0, "Object", object->value);
  pthread_cond_broadcast (&store.changed);
  return object->value;
}

void
stand_put (const char *kind, const char *name, json_t *spec)
{
  pthread_mutex_lock (&store.lock);
  write_object (kind, name, spec);
  pthread_mutex_unlock (&store.lock);
  json_decref (spec);
}

static json_t *
events_since (const char *kind, int64_t since)
{
  json_t *events = json_array ();

  for (size_t i = 0; i < store.change_count; i++)
    if (store.changes[i].revision > since
        && strcmp (store.changes[i].kind, kind) == 0)
      json_array_append (events, store.changes[i].event);
  return events;
}

static int64_t
query_number (const char *target, const char *name, int64_t otherwise)
{
  const char *found = strstr (target, name);

  return found != NULL ? strtoll (found + strlen (name), NULL, 10) : otherwise;
}

static json_t *
watch (const char *kind, const char *target)
{
  int64_t since = query_number (target, "Watch=", 0);
  int64_t end_ms
      = clock_ms (CLOCK_REALTIME) + query_number (target, "WaitMs=", 0);
  struct timespec end
      = { .tv_sec = end_ms / 1000, .tv_nsec = end_ms % 1000 * 1000000 };
  json_t *events = events_since (kind, since);

  while (json_array_size (events) == 0
         && pthread_cond_timedwait (&store.changed, &store.lock, &end) == 0)
    {
      json_decref (events);
      events = events_since (kind, since);
    }
  return json_pack ("{s:o,s:I}", "events", events, "At",
                    (json_int_t)store.revision);
}

static json_t *
list (const char *kind)
{
  json_t *items = json_array ();

  for (size_t i = 0; i < store.object_count; i++)
    if (strcmp (store.objects[i].kind, kind) == 0)
      json_array_append (items, store.objects[i].value);
  return json_pack ("{s:o,s:b,s:I}", "Items", items, "HasMore", 0, "At",
                    (json_int_t)store.revision);
}

static json_t *
update (const char *method, const char *kind, const char *path_name,
        const char *body, int *status)
{
  json_t *value = json_loads (body, 0, NULL);
  json_t *metadata = json_object_get (value, "Metadata");
  const char *name
      = path_name[0] != '\0'
            ? path_name
            : json_string_value (json_object_get (metadata, "Name"));
  const json_t *revision = json_object_get (metadata, "Revision");
  struct object *object = name != NULL ? find_object (kind, name) : NULL;
  bool creates = strcmp (method, "POST") == 0;
  json_t *reply;

  if (name == NULL)
    *status = 400;
  else if (!creates && object == NULL)
    *status = 404;
  else if (object != NULL
           && (creates
               || (revision != NULL
                   && json_integer_value (revision) != object->revision)))
    *status = 409;
  else
    {
      *status = creates ? 201 : 200;
      write_object (kind, name, json_object_get (value, "Spec"));
      object = find_object (kind, name);
    }
  reply = object != NULL ? json_incref (object->value) : json_object ();
  json_decref (value);
  return reply;
}

static json_t *
answer_call (const char *line, const char *body, int *status)
{
  char method[16] = "";
  char target[512] = "";
  char kind[STAND_NAME_SIZE] = "";
  char name[STAND_NAME_SIZE] = "";
  struct object *object;

  *status = 200;
  sscanf (line, "%15s %511s", method, target);
  sscanf (target, "/objects/%63[^/?]/%63[^/?]", kind, name);
  if (strcmp (method, "GET") != 0)
    return update (method, kind, name, body, status);
  if (name[0] == '\0')
    return strstr (target, "Watch=") != NULL ? watch (kind, target)
                                             : list (kind);
  object = find_object (kind, name);
  if (object != NULL)
    return json_incref (object->value);
  *status = 404;
  return json_object ();
}

static void
handle_store (int fd)
{
  struct stand_head head = { .read = 0 };

  while (stand_read_head (fd, &head))
    {
      char *body = calloc (1, head.body_bytes + 1);
      size_t got = head.read - head.size;
      int status = 200;
      int64_t era;
      json_t *reply;
      char *text;
      char line[160];
      bool is_away;

      if (got > head.body_bytes)
        got = head.body_bytes;
      memcpy (body, head.text + head.size, got);
      while (got < head.body_bytes)
        {
          ssize_t more = recv (fd, body + got, head.body_bytes - got, 0);

          if (more <= 0)
            break;
          got += (size_t)more;
        }
      pthread_mutex_lock (&store.lock);
      is_away = store.is_away;
      reply
          = is_away ? json_object () : answer_call (head.text, body, &status);
      is_away = is_away || store.is_away;
      text = json_dumps (reply, JSON_COMPACT);
      json_decref (reply);
      era = store.era;
      pthread_mutex_unlock (&store.lock);
      if (is_away)
        {
          free (text);
          free (body);
          break;
        }
      snprintf (line, sizeof line,
                "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                "Store-Era: %lld\r\nContent-Length: %zu\r\n\r\n",
                status, (long long)era, strlen (text));
      stand_next (&head, head.body_bytes);
      if (!stand_send (fd, line, strlen (line))
          || !stand_send (fd, text, strlen (text)))
        {
          free (text);
          free (body);
          break;
        }
      free (text);
      free (body);
    }
  close (fd);
}

void
stand_set_away (bool is_away)
{
  pthread_mutex_lock (&store.lock);
  store.is_away = is_away;
  pthread_cond_broadcast (&store.changed);
  pthread_mutex_unlock (&store.lock);
}

void
stand_copy (void)
{
  pthread_mutex_lock (&store.lock);
  for (size_t i = 0; i < store.object_count; i++)
    {
      store.copied[i] = store.objects[i];
      json_incref (store.copied[i].value);
    }
  store.copied_count = store.object_count;
  store.copied_changes = store.change_count;
  store.copied_revision = store.revision;
  pthread_mutex_unlock (&store.lock);
}

void
stand_restore (void)
{
  pthread_mutex_lock (&store.lock);
  memcpy (store.objects, store.copied, sizeof store.objects);
  for (size_t i = 0; i < store.copied_count; i++)
    json_incref (store.objects[i].value);
  store.object_count = store.copied_count;
  store.change_count = store.copied_changes;
  store.revision = store.copied_revision;
  store.era++;
  pthread_mutex_unlock (&store.lock);
}

void
stand_start_store (void)
{
  serve (stand_address (1), STAND_STORE_PORT, 0, handle_store);
}

json_t *
stand_config (int version, const char *service)
{
  return json_pack ("{s:i,s:[],s:[{s:s,s:s,s:i}],s:{s:i,s:i,s:i,s:i},"
                    "s:[{s:s,s:[s],s:i}]}",
                    "Version", version, "Routes", "Services", "Name", service,
                    "HealthPath", "/healthz", "MaxConnections", 96, "Limits",
                    "MaxHeaderBytes", 16384, "MaxBodyBytes", 4194304,
                    "HeaderTimeoutMs", 3000, "IdleTimeoutMs", 15000, "Tenants",
                    "Name", "hule930", "ApiKeys", "n2ctnfzs989anu6wsjnb",
                    "Priority", 1);
}

json_t *
stand_add_route (json_t *config, const char *prefix, const char *type,
                 const char *service)
{
  json_t *route = json_pack (
      "{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:b}", "Name", prefix + 1, "Host",
      "ficu95.example", "PathPrefix", prefix, "Type", type, "TimeoutMs", 8000,
      "TargetLatencyMs", 400, "Priority", 1, "Service", service, "MaxAttempts",
      strcmp (type, "unsafe") == 0 ? 1 : 2, "Public", 0);

  json_array_append_new (json_object_get (config, "Routes"), route);
  return route;
}

void
stand_start_worker (int number, const char *service, int receive_bytes,
                    void (*handle) (int fd))
{
  char name[STAND_NAME_SIZE];
  char address[STAND_NAME_SIZE];

  snprintf (name, sizeof name, "i-%08x", 0x7f3a0000 + number);
  snprintf (address, sizeof address, "%s:%d", stand_address (number),
            STAND_WORKER_PORT);
  serve (stand_address (number), STAND_WORKER_PORT, receive_bytes, handle);
  stand_put ("servers", name,
             json_pack ("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i,s:I}", "Service",
                        service, "Address", address, "Zone", "nbo-a",
                        "Version", "v1", "Slots", 17, "State", "ready",
                        "ColdRemainingMs", 0, "Sequence", 4, "born",
                        (json_int_t)clock_ms (CLOCK_REALTIME)));
}

/* The settings that the template of the deploy file gives for the smallest
   deployment of the users' pages.  */
static void
write_settings (const char *path, const char *name, const char *address,
                bool is_first_start)
{
  FILE *file = fopen (path, "w");

  if (file == NULL)
    stand_fail (path);
  fprintf (file,
           "name = \"%s\"\ndata_centre = \"nbo-a\"\ndialect = \"platform\"\n"
           "callers = \"%s:%d\"\nbalancer = \"%s:%d\"\npeer_port = 7340\n"
           "metrics_port = 9464\nhandover_port = 7355\n"
           "platform_url = \"http://%s:%d\"\nfirst_start = %s\n"
           "heartbeat_ms = 1200\nmax_descriptors = 4200\nmemory_mb = 260\n"
           "cpu_share = 0.25\nreads_per_s = 2000\nwrites_per_s = 400\n"
           "[bounds]\nconfig_apply_ms = 2000\ndrain_ms = 2000\n"
           "contact_ms = 3000\ngrace_s = 8\nrevoke_ms = 5000\n"
           "revoke_fail_closed = true\nretry_ratio = 0.2\nretry_slack = 103\n"
           "stall_ms = 4000\n[placement]\ngrace_min_members = 6\n"
           "[regions]\n\"nbo-a\" = \"nairobi\"\n",
           name, address, STAND_CALLER_PORT, address, STAND_READY_PORT,
           stand_address (1), STAND_STORE_PORT,
           is_first_start ? "true" : "false");
  fclose (file);
}

static bool
is_ready (const char *address)
{
  static const char request[]
      = "GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
  struct stand_head head = { .read = 0 };
  int fd = stand_connect (address, STAND_READY_PORT);
  bool has_answer = fd >= 0 && stand_send (fd, request, sizeof request - 1)
                    && stand_read_head (fd, &head);

  if (fd >= 0)
    close (fd);
  return has_answer && strncmp (head.text, "HTTP/1.1 200", 12) == 0;
}

pid_t
stand_start_daemon (const char *name, int number, bool is_first_start)
{
  char settings[512];
  char output[512];
  const char *address = stand_address (number);
  pid_t pid;

  snprintf (settings, sizeof settings, "%s/%s.conf", stand.folder, name);
  snprintf (output, sizeof output, "%s/%s.log", stand.folder, name);
  write_settings (settings, name, address, is_first_start);
  pid = fork ();
  if (pid < 0)
    stand_fail ("fork");
  if (pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      if (freopen (output, "w", stdout) == NULL
          || dup2 (STDOUT_FILENO, STDERR_FILENO) < 0)
        _exit (2);
      setenv ("BURDOCKDALE_BOOT", settings, 1);
      execl ("target/burdockdale", "target/burdockdale", "edge", "--settings",
             settings, (char *)NULL);
      _exit (2);
    }
  stand.daemons[stand.daemon_count++] = pid;
  for (int64_t end_ms = stand_now_ms () + READY_TIMEOUT_MS;
       !is_ready (address);)
    {
      if (stand_now_ms () > end_ms)
        stand_fail ("the daemon is not ready");
      usleep (READY_POLL_US);
    }
  stand_record ("daemon %s is ready", name);
  return pid;
}

void
stand_kill_daemon (pid_t pid)
{
  kill (pid, SIGKILL);
  waitpid (pid, NULL, 0);
  for (size_t i = 0; i < stand.daemon_count; i++)
    if (stand.daemons[i] == pid)
      stand.daemons[i] = stand.daemons[--stand.daemon_count];
}

int
stand_end (int status)
{
  for (size_t i = 0; i < stand.daemon_count; i++)
    {
      kill (stand.daemons[i], SIGKILL);
      waitpid (stand.daemons[i], NULL, 0);
    }
  stand.daemon_count = 0;
  return status;
}
