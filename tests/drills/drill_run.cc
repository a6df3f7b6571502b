#include "drills/drill_run.h"

#include <unistd.h>

#include <array>
#include <cstdio>
#include <utility>

#include "base/random_source.h"
#include "net/socket.h"

namespace limpetlever {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::array kServices = {"north", "south", "east", "west"};
constexpr std::array kDataCentres = {"dc-a", "dc-b", "dc-c"};
constexpr int kCallersOfHost = 2;
constexpr std::uint16_t kFirstPort = 10'000;
/** A host that has just started reads the store and the other hosts first. */
constexpr duration kStartTime = seconds(6);
constexpr duration kMaxStartTime = seconds(40);
/** From a return of the store, or the start of a host, until the host is in the store. */
constexpr duration kRegistrationLimit = seconds(10);
constexpr duration kProcessCheck = milliseconds(100);
/** A server serves for drainMs after its report and a little longer. */
constexpr duration kServesAfterReport = seconds(5);
/** Of each service, so that a restart or an evacuation leaves one in use. */
constexpr std::size_t kMinServersOfService = 2;

/** An address that processes of the same time do not share. */
std::string LoopbackIp() {
  const int process = getpid();
  return "127." + std::to_string(1 + process / 250 % 250) + "." + std::to_string(process % 250) +
         ".1";
}

std::string HexOf(int number) {
  char text[16];
  std::snprintf(text, sizeof(text), "%04x", static_cast<unsigned>(number));
  return text;
}

}  // namespace

drill_run::drill_run(drill_plan plan, options settings)
    : plan_(std::move(plan)),
      options_(std::move(settings)),
      ip_(LoopbackIp()),
      next_port_(kFirstPort),
      check_(
          [this](const std::string& service, instant since) { return IsServed(service, since); }) {}

drill_run::~drill_run() = default;

socket_address drill_run::NewAddress() {
  while (true) {
    const socket_address address{.ip = ip_, .port = next_port_++};
    if (Listen(address)) {
      return address;
    }
  }
}

drill_run::report drill_run::Play() {
  loop_.UpdateNow();
  check_.SetStart(loop_.Now());
  store_ = std::make_unique<drill_store>(loop_, NewAddress(),
                                         [this](const std::string& key, const std::string* value) {
                                           check_.OnStoreChange(loop_.Now(), key, value);
                                         });
  operator_ = std::make_unique<drill_operator>(
      loop_, *store_, std::vector<std::string>(kServices.begin(), kServices.end()));
  for (int i = 0; i < options_.server_count; ++i) {
    const auto number = static_cast<std::size_t>(i);
    AddServer(kServices[number % kServices.size()],
              kDataCentres[number / kServices.size() % kDataCentres.size()]);
  }
  for (int i = 0; i < options_.host_count; ++i) {
    AddHost(i);
  }
  const instant give_up = loop_.Now() + kMaxStartTime;
  loop_.timers().Subscribe(loop_.Now() + kStartTime,
                           [this, give_up](instant) { BeginWhenServed(give_up); });
  loop_.timers().SubscribeEvery(loop_.Now() + kProcessCheck, kProcessCheck,
                                [this](instant) { CheckProcesses(); });
  loop_.Run();
  for (const auto& entry : hosts_) {
    entry->callers.clear();
    entry->process->Kill();
  }
  return {.violations = check_.violations(),
          .violation_count = check_.violation_count(),
          .request_count = request_count_,
          .checked_count = check_.checked_count()};
}

void drill_run::AddHost(int number) {
  auto entry = std::make_unique<host>();
  host& added = *entry;
  const auto position = static_cast<std::size_t>(number);
  const std::string name = "host-" + std::to_string(number + 1);
  added.process = std::make_unique<host_process>(
      host_process::options{.program = options_.program,
                            .folder = options_.folder,
                            .name = name,
                            .data_centre = kDataCentres[position % kDataCentres.size()],
                            .caller_address = NewAddress(),
                            .readiness_address = NewAddress(),
                            .directory_address = NewAddress(),
                            .peer_address = NewAddress(),
                            .metrics_address = NewAddress(),
                            .store_address = store_->address()});
  added.process->Start();
  added.started = loop_.Now();
  check_.OnHostDisrupted(loop_.Now(), name);
  for (int i = 0; i < kCallersOfHost; ++i) {
    const int caller = number * kCallersOfHost + i;
    added.callers.push_back(std::make_unique<drill_caller>(
        loop_,
        drill_caller::options{.host = added.process->settings().caller_address,
                              .id_prefix = HexOf(number) + HexOf(caller).substr(2),
                              .seed = plan_.seed + static_cast<std::uint64_t>(caller)},
        [this](random_source& random) { return operator_->ChoosePrefix(random); },
        [this, &added](const auto& outcome) { OnOutcome(added, outcome); }));
  }
  hosts_.push_back(std::move(entry));
}

void drill_run::AddServer(const std::string& service, const std::string& data_centre) {
  random_source random(plan_.seed + static_cast<std::uint64_t>(next_server_));
  servers_.push_back(std::make_unique<drill_server>(
      loop_, *store_,
      drill_server::options{.id = "i-" + HexOf(next_server_++),
                            .service = service,
                            .data_centre = data_centre,
                            .address = NewAddress(),
                            .first_heartbeat = milliseconds(random.Below(1200)),
                            .heartbeats_raise_revision = plan_.heartbeats_raise_revision},
      [this](const drill_server& server, const std::string& id) { OnArrival(server, id); }));
}

void drill_run::BeginWhenServed(instant give_up) {
  for (const auto& entry : hosts_) {
    if (entry->has_served) {
      continue;
    }
    if (loop_.Now() > give_up) {
      check_.AddViolation(loop_.Now(), "START",
                          entry->process->settings().name + " serves no request");
      loop_.Stop();
      return;
    }
    loop_.timers().Subscribe(loop_.Now() + kProcessCheck,
                             [this, give_up](instant) { BeginWhenServed(give_up); });
    return;
  }
  Begin();
}

void drill_run::Begin() {
  const instant start = loop_.Now();
  check_.SetStart(start);
  for (std::size_t i = 0; i < plan_.outages.size(); ++i) {
    loop_.timers().Subscribe(start + plan_.outages[i].begin,
                             [this, i](instant) { BeginOutage(i); });
    loop_.timers().Subscribe(start + plan_.outages[i].end(), [this, i](instant) { EndOutage(i); });
  }
  for (const drill_plan::action& action : plan_.actions) {
    loop_.timers().Subscribe(start + action.time, [this, &action](instant) { Perform(action); });
  }
  loop_.timers().Subscribe(start + plan_.length, [this](instant) {
    CheckRegistrations();
    loop_.Stop();
  });
}

void drill_run::BeginOutage(std::size_t number) {
  using enum drill_store::mode_type;
  constexpr std::array kModes = {closed, silent, refused};
  CheckRegistrations();
  check_.OnStoreAway(loop_.Now());
  store_->GoAway(kModes[static_cast<std::size_t>(plan_.outages[number].kind)]);
}

void drill_run::EndOutage(std::size_t number) {
  const drill_plan::outage& outage = plan_.outages[number];
  check_.OnStoreReturn(loop_.Now());
  last_return_ = loop_.Now();
  if (!plan_.has_copies) {
    store_->Return();
    return;
  }
  store_->ReturnFromCopy(outage.copy_age);
  if (outage.lapses_entries) {
    const std::vector<std::string> keys = store_->Keys("servers/");
    for (std::size_t i = 0; i < keys.size(); i += 2) {
      store_->Remove(keys[i]);
    }
  }
  operator_->OnStoreReturn(plan_.seed + number, outage.repeats_all_versions);
}

void drill_run::Perform(const drill_plan::action& action) {
  switch (action.kind) {
    case drill_plan::action_kind::change_config:
      operator_->ChangeConfig(action.choice);
      break;
    case drill_plan::action_kind::drain_server:
      DrainOrRemove(action.choice, true);
      break;
    case drill_plan::action_kind::remove_server:
      DrainOrRemove(action.choice, false);
      break;
    case drill_plan::action_kind::restart_server:
      RestartServer(action.choice);
      break;
    case drill_plan::action_kind::evacuate:
      Evacuate(action.choice);
      break;
    case drill_plan::action_kind::end_evacuation:
      operator_->EndEvacuation();
      break;
    case drill_plan::action_kind::kill_host:
      KillHost(action.choice);
      break;
    case drill_plan::action_kind::start_host:
      StartHost();
      break;
  }
}

std::vector<drill_server*> drill_run::ReadyServers() const {
  std::vector<drill_server*> ready;
  for (const auto& server : servers_) {
    if (server->IsReadySince(loop_.Now() - fleet_check::kDrainLimit) &&
        operator_->evacuated() != server->settings().data_centre) {
      ready.push_back(server.get());
    }
  }
  return ready;
}

bool drill_run::IsServed(const std::string& service, instant since) const {
  for (const auto& server : servers_) {
    if (server->settings().service == service && server->IsReadySince(since) &&
        operator_->evacuated() != server->settings().data_centre) {
      return true;
    }
  }
  return false;
}

void drill_run::DrainOrRemove(std::uint64_t choice, bool drains) {
  const std::vector<drill_server*> ready = ReadyServers();
  if (ready.empty()) {
    return;
  }
  drill_server& chosen = *ready[choice % ready.size()];
  std::size_t of_service = 0;
  for (const drill_server* server : ready) {
    of_service += server->settings().service == chosen.settings().service ? 1 : 0;
  }
  if (of_service <= kMinServersOfService) {
    return;
  }
  if (drains) {
    chosen.Drain();
  } else {
    chosen.Leave();
  }
  loop_.timers().Subscribe(loop_.Now() + kServesAfterReport, [&chosen](instant) {
    chosen.Leave();
    chosen.Stop();
  });
  AddServer(chosen.settings().service, chosen.settings().data_centre);
}

void drill_run::RestartServer(std::uint64_t choice) {
  const std::vector<drill_server*> ready = ReadyServers();
  if (!ready.empty()) {
    ready[choice % ready.size()]->Restart(milliseconds(200 + choice % 1000));
  }
}

void drill_run::Evacuate(std::uint64_t choice) {
  const std::string data_centre = kDataCentres[choice % kDataCentres.size()];
  for (const char* service : kServices) {
    bool has_other = false;
    for (const drill_server* server : ReadyServers()) {
      has_other = has_other || (server->settings().service == service &&
                                server->settings().data_centre != data_centre);
    }
    if (!has_other) {
      return;
    }
  }
  if (!operator_->evacuated()) {
    operator_->Evacuate(data_centre);
  }
}

void drill_run::KillHost(std::uint64_t choice) {
  for (const auto& entry : hosts_) {
    if (!entry->process->IsStarted()) {
      return;
    }
  }
  host_process& chosen = *hosts_[choice % hosts_.size()]->process;
  chosen.Kill();
  check_.OnHostDisrupted(loop_.Now(), chosen.settings().name);
}

void drill_run::StartHost() {
  for (const auto& entry : hosts_) {
    if (!entry->process->IsStarted()) {
      entry->process->Start();
      entry->started = loop_.Now();
      check_.OnHostDisrupted(loop_.Now(), entry->process->settings().name);
    }
  }
}

void drill_run::OnOutcome(host& from, const drill_caller::outcome& outcome) {
  ++request_count_;
  from.has_served = from.has_served || outcome.status == 200;
  check_.OnOutcome(loop_.Now(), from.process->settings().name, outcome);
}

void drill_run::OnArrival(const drill_server& server, const std::string& request_id) {
  for (const auto& entry : hosts_) {
    for (const auto& caller : entry->callers) {
      if (caller->current().id == request_id) {
        check_.OnArrival(loop_.Now(), caller->current().sent, entry->process->settings().name,
                         server.settings().id, server.settings().data_centre);
        return;
      }
    }
  }
}

void drill_run::CheckProcesses() {
  for (const auto& entry : hosts_) {
    if (entry->process->HasEnded()) {
      check_.AddViolation(loop_.Now(), "ENDED", entry->process->settings().name + " has ended");
    }
  }
}

void drill_run::CheckRegistrations() {
  const instant latest = loop_.Now() - kRegistrationLimit;
  for (const auto& entry : hosts_) {
    const std::string& name = entry->process->settings().name;
    if (entry->process->IsStarted() && entry->started <= latest && last_return_ <= latest &&
        store_->Find("hosts/" + name) == nullptr) {
      check_.AddViolation(loop_.Now(), "UNREGISTERED", name + " has no entry in the store");
    }
  }
}

}  // namespace limpetlever
