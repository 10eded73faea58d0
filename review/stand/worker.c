/* Workers: plain services, and engines that form groups.  */

#include "stand.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  BEAT_MS = 1200,
  EXPIRY_MS = 3600,
  STALL_MS = 4000,
  FORM_MS = 300,
  REJOIN_MS = 200,
  WARM_MS = 600,
  LOAD_MS = 2000,
  PLAIN_MS = 15,
  ANSWER_BYTES = 800
};

struct worker workers[MAX_WORKERS];
int worker_count;
struct run runs[MAX_RUNS];
int run_count;
const char *answer_headers = "";
bool (*order_hook) (struct worker *w, struct connection *c,
                    const json_t *order);
void (*join_hook) (struct worker *w, const json_t *order);
int event_count = 20;
int event_gap_ms = 10;
int order_ms;
static bool has_run_any;

struct worker *
worker_find (const char *id)
{
  for (int i = 0; i < worker_count; i++)
    if (strcmp (workers[i].id, id) == 0)
      return &workers[i];
  return NULL;
}

int
runs_of (const char *id)
{
  int count = 0;

  pthread_mutex_lock (&lock);
  for (int i = 0; i < run_count; i++)
    count += strcmp (runs[i].id, id) == 0;
  pthread_mutex_unlock (&lock);
  return count;
}

/* Whether a member of the head's group is dead.  */
static bool
has_dead_member (const struct worker *w)
{
  for (int i = 0; i < w->member_count; i++)
    {
      const struct worker *member = worker_find (w->members[i]);

      if (member != NULL && member->is_dead)
        return true;
    }
  return false;
}

static int64_t
member_death_ms (const struct worker *w)
{
  int64_t first_ms = INT64_MAX;

  for (int i = 0; i < w->member_count; i++)
    {
      const struct worker *member = worker_find (w->members[i]);

      if (member != NULL && member->is_dead && member->dead_ms < first_ms)
        first_ms = member->dead_ms;
    }
  return first_ms;
}

/* Moves the states that change with time on; with the lock held.  */
static void
advance (struct worker *w)
{
  int64_t now = now_ms ();

  if (w->staging[0] != '\0' && now >= w->staging_until_ms)
    {
      snprintf (w->staged, NAME, "%s", w->staging);
      w->staging[0] = '\0';
    }
  if (strcmp (w->state, "joining") == 0 && now >= w->state_due_ms)
    {
      snprintf (w->state, sizeof w->state, "ready");
      snprintf (w->staged, NAME, "%s", w->model);
      snprintf (w->last_model, NAME, "%s", w->model);
      note ("%s is ready in %s", w->id, w->group);
    }
  if (strcmp (w->state, "opening") == 0 && now >= w->state_due_ms)
    {
      snprintf (w->state, sizeof w->state, "open");
      note ("%s is open as the head of %s", w->id, w->group);
    }
  if (strcmp (w->state, "closing") == 0 && w->running == 0)
    snprintf (w->state, sizeof w->state, "ready");
  if (w->rank == 0
      && (strcmp (w->state, "open") == 0 || strcmp (w->state, "closing") == 0)
      && now - member_death_ms (w) >= STALL_MS)
    {
      snprintf (w->state, sizeof w->state, "broken");
      note ("%s is broken as the head of %s", w->id, w->group);
    }
}

static const char *
shown_state (const struct worker *w)
{
  return strcmp (w->state, "opening") == 0 ? "ready" : w->state;
}

static void
add_engine (const struct worker *w, json_t *value)
{
  json_t *models = json_array ();
  json_t *staged = json_array ();

  if (w->state[0] != '\0' && strcmp (w->state, "joining") != 0)
    json_array_append_new (models,
                           json_pack ("{s:s,s:i,s:[]}", "Name", w->model,
                                      "Version", 1, "Adapters"));
  if (w->staged[0] != '\0')
    json_array_append_new (staged, json_string (w->staged));
  json_object_set_new (value, "Stage", json_string ("prefill_decode"));
  json_object_set_new (value, "Models", models);
  json_object_set_new (value, "Staged", staged);
  json_object_set_new (value, "Domain", json_string (w->domain));
  if (w->state[0] != '\0')
    json_object_set_new (value, "group",
                         json_pack ("{s:s,s:I,s:i,s:s}", "Name", w->group,
                                    "epoch", (json_int_t)w->epoch, "rank",
                                    w->rank, "State", shown_state (w)));
}

/* The worker's entry in the store; with the lock held.  */
static json_t *
make_entry (struct worker *w)
{
  char address[64];
  json_t *value;

  snprintf (address, sizeof address, "127.0.0.1:%u", w->port);
  value = json_pack ("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:I,s:I}", "Service",
                     w->service, "Address", address, "Zone", "nbo-a",
                     "Version", "v1", "Slots", w->slots, "State", "ready",
                     "ColdRemainingMs", 0, "Sequence",
                     (json_int_t)++w->beat, "born", (json_int_t)w->born);
  if (w->has_engine)
    add_engine (w, value);
  w->beat_ms = now_ms ();
  return value;
}

static void
write_entry (struct worker *w)
{
  json_t *value;

  pthread_mutex_lock (&lock);
  advance (w);
  value = make_entry (w);
  pthread_mutex_unlock (&lock);
  store_put ("servers", w->id, value);
}

/* Beats, changes of state, and the entries that expire.  */
static void *
run_beats (void *ctx)
{
  static char shown[MAX_WORKERS][16];

  (void)ctx;
  for (;;)
    {
      for (int i = 0; i < worker_count; i++)
        {
          struct worker *w = &workers[i];
          bool is_due;
          bool has_expired;

          pthread_mutex_lock (&lock);
          if (!w->is_dead)
            advance (w);
          is_due = !w->is_dead
                   && (now_ms () - w->beat_ms >= BEAT_MS
                       || strcmp (shown[i], shown_state (w)) != 0);
          if (is_due)
            snprintf (shown[i], sizeof shown[i], "%s", shown_state (w));
          has_expired = w->is_dead && w->beat_ms >= 0
                        && now_ms () - w->beat_ms >= EXPIRY_MS;
          if (has_expired)
            w->beat_ms = -1;
          pthread_mutex_unlock (&lock);
          if (is_due)
            write_entry (w);
          if (has_expired)
            store_delete ("servers", w->id);
        }
      sleep_ms (20);
    }
  return NULL;
}

static bool
is_in (const struct worker *w, const json_t *order)
{
  return w->state[0] != '\0'
         && strcmp (w->group, json_string_value (
                                  json_object_get (order, "group")))
                == 0
         && w->epoch
                == json_integer_value (json_object_get (order, "epoch"));
}

static bool
has_same_members (const struct worker *w, const json_t *members)
{
  if ((int)json_array_size (members) != w->member_count)
    return false;
  for (int i = 0; i < w->member_count; i++)
    if (strcmp (w->members[i],
                json_string_value (json_array_get (members, (size_t)i)))
        != 0)
      return false;
  return true;
}

static int
join (struct worker *w, const json_t *order)
{
  const json_t *members = json_object_get (order, "Members");
  int64_t epoch = json_integer_value (json_object_get (order, "epoch"));
  const char *model = json_string_value (json_object_get (order, "Model"));

  if (epoch < w->highest_epoch)
    return 412;
  if (is_in (w, order))
    return has_same_members (w, members) ? 200 : 412;
  if (join_hook != NULL)
    join_hook (w, order);
  w->sequence++;
  w->highest_epoch = epoch;
  w->epoch = epoch;
  snprintf (w->group, NAME, "%s",
            json_string_value (json_object_get (order, "group")));
  snprintf (w->model, NAME, "%s", model);
  w->member_count = (int)json_array_size (members);
  for (int i = 0; i < w->member_count; i++)
    {
      snprintf (w->members[i], NAME, "%s",
                json_string_value (json_array_get (members, (size_t)i)));
      if (strcmp (w->members[i], w->id) == 0)
        w->rank = i;
    }
  snprintf (w->state, sizeof w->state, "joining");
  w->state_due_ms = now_ms ()
                    + (strcmp (w->last_model, model) == 0 ? REJOIN_MS
                       : strcmp (w->staged, model) == 0   ? WARM_MS
                       : has_run_any                      ? LOAD_MS
                                                          : LOAD_MS / 10);
  return 202;
}

static int
change_state (struct worker *w, const char *operation, const json_t *order)
{
  if (strcmp (operation, "leave") == 0)
    {
      if (is_in (w, order))
        {
          w->sequence++;
          w->state[0] = '\0';
        }
      return 200;
    }
  if (!is_in (w, order) || w->rank != 0)
    return 409;
  if (strcmp (operation, "open") == 0)
    {
      if (strcmp (w->state, "open") == 0 || strcmp (w->state, "opening") == 0)
        return 200;
      if (strcmp (w->state, "ready") != 0)
        return 409;
      w->sequence++;
      snprintf (w->state, sizeof w->state, "opening");
      w->state_due_ms = now_ms () + FORM_MS;
      return 202;
    }
  if (strcmp (w->state, "open") != 0)
    return strcmp (w->state, "broken") == 0 ? 409 : 200;
  w->sequence++;
  snprintf (w->state, sizeof w->state, "closing");
  return 202;
}

static int
stage (struct worker *w, const json_t *order)
{
  const char *model = json_string_value (json_object_get (order, "Model"));

  if (strcmp (w->staged, model) == 0)
    return 200;
  if (w->staging[0] == '\0')
    {
      w->sequence++;
      snprintf (w->staging, NAME, "%s", model);
      w->staging_until_ms = now_ms () + LOAD_MS;
    }
  return 202;
}

/* Carries an order out; with the lock held.  Returns its status.  */
int
apply_order (struct worker *w, const json_t *order)
{
  const char *operation
      = json_string_value (json_object_get (order, "Operation"));
  const json_t *expected = json_object_get (order, "Expect");
  const json_t *token = json_object_get (order, "FencingToken");

  advance (w);
  if (token != NULL)
    {
      if (json_integer_value (token) < w->fence)
        return 412;
      w->fence = json_integer_value (token);
    }
  if (expected != NULL && json_integer_value (expected) != w->sequence)
    return 409;
  if (strcmp (operation, "join") == 0)
    return join (w, order);
  if (strcmp (operation, "Stage") == 0)
    return stage (w, order);
  if (strcmp (operation, "open") == 0 || strcmp (operation, "close") == 0
      || strcmp (operation, "leave") == 0)
    return change_state (w, operation, order);
  return 400;
}

static void
handle_order (struct worker *w, struct connection *c, const struct message *m)
{
  json_t *order = json_loads (m->body, 0, NULL);
  int status;

  if (order_hook != NULL && order_hook (w, c, order))
    return; /* The hook keeps the order.  */
  pthread_mutex_lock (&lock);
  status = apply_order (w, order);
  pthread_mutex_unlock (&lock);
  note ("%s: order %s: %d", w->id, m->body, status);
  sleep_ms (order_ms);
  respond (c->fd, status, "Content-Type: application/json\r\n", "{}", 2);
  json_decref (order);
}

static void
report (struct worker *w, struct connection *c)
{
  json_t *value;
  char *text;

  pthread_mutex_lock (&lock);
  advance (w);
  value = json_pack ("{s:b,s:I,s:i,s:i,s:i,s:i,s:i,s:I,s:f}", "Busy",
                     (int)(w->staging[0] != '\0'), "Sequence",
                     (json_int_t)w->sequence, "Queued", 0, "Active",
                     w->running, "KvUsed", 0, "KvTotal", 1860000,
                     "KvHandles", 0, "born", (json_int_t)w->born, "pace", 1.0);
  add_engine (w, value);
  pthread_mutex_unlock (&lock);
  text = json_dumps (value, JSON_COMPACT);
  respond (c->fd, 200, "Content-Type: application/json\r\n", text,
           strlen (text));
  free (text);
  json_decref (value);
}

static void
copy (char out[NAME], const struct message *m, const char *name)
{
  const char *value = header (m, name);

  snprintf (out, NAME, "%s", value != NULL ? value : "(none)");
}

static void
record_run (const struct worker *w, const struct message *m)
{
  struct run *r;

  pthread_mutex_lock (&lock);
  if (run_count == MAX_RUNS)
    finish (2);
  r = &runs[run_count++];
  r->at_ms = now_ms ();
  snprintf (r->worker, NAME, "%s", w->id);
  snprintf (r->first, sizeof r->first, "%.120s", m->first);
  copy (r->id, m, "Attempt-Id");
  copy (r->account, m, "Tenant");
  copy (r->model, m, "Model");
  copy (r->tokens, m, "Token-Usage");
  copy (r->prefix, m, "Prompt-Prefix");
  pthread_mutex_unlock (&lock);
  note ("%s runs %s (%.60s), tenant %s", w->id, r->id, m->first, r->account);
}

static char *
answer_head (const struct worker *w, const struct message *m,
             const char *more)
{
  char *text;

  if (asprintf (&text,
                "Attempt-Id: %s\r\nResponse-Seal: seal.%s.%s\r\n"
                "Server-Load: %d,0,%d\r\n%s%s",
                header (m, "Attempt-Id"), w->id, header (m, "Attempt-Id"),
                w->running, w->slots, answer_headers, more)
      < 0)
    finish (2);
  return text;
}

static bool
answer_plain (struct worker *w, struct connection *c, const struct message *m)
{
  char body[ANSWER_BYTES];
  char *head = answer_head (w, m, "");
  bool is_sent;

  sleep_ms (PLAIN_MS);
  memset (body, 'a', sizeof body);
  is_sent = respond (c->fd, 200, head, body, sizeof body);
  free (head);
  return is_sent;
}

/* Whether the head still serves the stream.  Stands still while a member is
   dead, until the group is broken or has ended.  */
static bool
can_go_on (struct worker *w, const char *group)
{
  for (;;)
    {
      bool is_serving;
      bool is_stalled;

      pthread_mutex_lock (&lock);
      advance (w);
      is_serving = strcmp (w->group, group) == 0
                   && (strcmp (w->state, "open") == 0
                       || strcmp (w->state, "closing") == 0);
      is_stalled = has_dead_member (w);
      pthread_mutex_unlock (&lock);
      if (!is_serving || !is_stalled)
        return is_serving;
      sleep_ms (20);
    }
}

/* Sends a part of an answer and adds it to its copy.  */
static bool
send_part (struct connection *c, char **copy_of, const char *text)
{
  size_t used = strlen (*copy_of);

  *copy_of = realloc (*copy_of, used + strlen (text) + 1);
  strcpy (*copy_of + used, text);
  return send_all (c->fd, text, strlen (text));
}

/* Sends the stream and keeps a copy of the whole answer, which a faulty worker
   may send a second time.  */
static bool
answer_stream (struct worker *w, struct connection *c,
               const struct message *m)
{
  const char *last = header (m, "Last-Event-Id");
  int id = last != NULL ? atoi (last) : 0;
  char *answer_copy = strdup ("");
  char group[NAME];
  char *head = answer_head (
      w, m,
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
  char *text;
  bool is_sent;

  free (c->extra);
  c->extra = NULL;
  pthread_mutex_lock (&lock);
  snprintf (group, NAME, "%s", w->group);
  pthread_mutex_unlock (&lock);
  if (asprintf (&text, "HTTP/1.1 200 OK\r\n%s\r\n", head) < 0)
    finish (2);
  is_sent = can_go_on (w, group) && send_part (c, &answer_copy, text);
  free (text);
  free (head);
  for (; is_sent && id < event_count; id++)
    {
      char event[128];
      char chunk[192];

      sleep_ms (event_gap_ms);
      snprintf (event, sizeof event, "id: %d\ndata: piece %d\n\n", id + 1,
                id + 1);
      snprintf (chunk, sizeof chunk, "%zx\r\n%s\r\n", strlen (event), event);
      is_sent = can_go_on (w, group) && send_part (c, &answer_copy, chunk);
    }
  if (is_sent && send_part (c, &answer_copy, "0\r\n\r\n"))
    c->extra = answer_copy;
  else
    free (answer_copy);
  return c->extra != NULL;
}

/* Returns whether the connection is kept.  */
static bool
handle_request (struct worker *w, struct connection *c,
                const struct message *m)
{
  const char *id = header (m, "Attempt-Id");
  char refusal[256];
  int status = 0;
  bool is_kept;

  pthread_mutex_lock (&lock);
  advance (w);
  if (id == NULL)
    status = 400;
  else if (w->has_engine && strcmp (w->state, "broken") == 0)
    status = 503;
  else if (w->has_engine && (w->rank != 0 || strcmp (w->state, "open") != 0))
    status = 421;
  else if (w->running >= w->slots)
    status = 503;
  else
    {
      w->running++;
      has_run_any = true;
    }
  pthread_mutex_unlock (&lock);
  if (status != 0)
    {
      snprintf (refusal, sizeof refusal,
                "%s%s%sInstance-Id: %s\r\nAt-Server: %s\r\n%s",
                id != NULL ? "Attempt-Id: " : "", id != NULL ? id : "",
                id != NULL ? "\r\n" : "", w->id, w->id,
                status != 421 ? "Not-Executed: 1\r\n" : "");
      return respond (c->fd, status, refusal, "", 0);
    }
  record_run (w, m);
  is_kept = w->has_engine ? answer_stream (w, c, m) : answer_plain (w, c, m);
  pthread_mutex_lock (&lock);
  w->running--;
  pthread_mutex_unlock (&lock);
  return is_kept;
}

static bool
handle_message (struct worker *w, struct connection *c,
                const struct message *m)
{
  const char *target = header (m, "Target-Instance");
  char other[192];

  snprintf (other, sizeof other, "Instance-Id: %s\r\n", w->id);
  if (target != NULL && strcmp (target, w->id) != 0)
    return respond (c->fd, 421, other, "", 0);
  if (strncmp (m->first, "GET /healthz ", 13) == 0)
    return respond (c->fd, 200, other, "", 0);
  if (strncmp (m->first, "GET /report ", 12) == 0)
    {
      report (w, c);
      return true;
    }
  if (strncmp (m->first, "POST /order ", 12) == 0)
    {
      handle_order (w, c, m);
      return true;
    }
  return handle_request (w, c, m);
}

static void
keep_fd (struct worker *w, int fd, bool is_kept)
{
  pthread_mutex_lock (&lock);
  for (int i = 0; i < w->fd_count; i++)
    if (w->fds[i] == fd)
      {
        w->fds[i] = w->fds[--w->fd_count];
        break;
      }
  if (is_kept && w->fd_count < 512)
    w->fds[w->fd_count++] = fd;
  pthread_mutex_unlock (&lock);
}

static void
handle (void *ctx, int fd)
{
  struct worker *w = ctx;
  struct connection c = { .fd = fd };
  struct message m;
  bool is_kept = !w->is_dead;

  keep_fd (w, fd, true);
  while (is_kept && read_head (&c, &m))
    {
      is_kept = read_body (&c, &m) && !w->is_dead
                && handle_message (w, &c, &m);
      free_message (&m);
    }
  keep_fd (w, fd, false);
  close_connection (&c);
}

struct worker *
worker_add (const char *id, const char *service, const char *domain,
            bool has_engine, int slots)
{
  struct worker *w = &workers[worker_count];

  memset (w, 0, sizeof *w);
  snprintf (w->id, NAME, "%s", id);
  snprintf (w->service, NAME, "%s", service);
  snprintf (w->domain, NAME, "%s", domain);
  w->has_engine = has_engine;
  w->slots = slots;
  w->born = unix_ms ();
  w->listen_fd = listen_on (&w->port);
  if (w->listen_fd < 0)
    finish (2);
  worker_count++;
  return w;
}

void
workers_start (void)
{
  pthread_t thread;

  for (int i = 0; i < worker_count; i++)
    {
      write_entry (&workers[i]);
      serve (workers[i].listen_fd, handle, &workers[i]);
    }
  if (pthread_create (&thread, NULL, run_beats, NULL) != 0)
    finish (2);
}

/* Its connections are reset, its port has no listener, it writes no beats.  */
void
worker_crash (struct worker *w)
{
  struct linger reset = { .l_onoff = 1, .l_linger = 0 };

  pthread_mutex_lock (&lock);
  w->is_dead = true;
  w->dead_ms = now_ms ();
  w->state[0] = '\0';
  shutdown (w->listen_fd, SHUT_RDWR);
  close (w->listen_fd);
  for (int i = 0; i < w->fd_count; i++)
    {
      setsockopt (w->fds[i], SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      shutdown (w->fds[i], SHUT_RDWR);
    }
  pthread_mutex_unlock (&lock);
  note ("%s crashes", w->id);
}
