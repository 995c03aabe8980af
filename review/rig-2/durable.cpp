// Sixteen nodes are one cluster. While workers are replaced one after the other, discovery has too many
// callers for a moment; then the node that took background charges is killed. A charge may not be repeated ('once').
#include "rig.h"

using namespace rig;

namespace {

constexpr int kNodes = 16, kVoters = 3, kWorkers = 9;
constexpr double kRunS = 2.8;  // of a charge, by the pages 1.9 to 3.7 s
constexpr double kJobGapS = 0.08, kSubmitForS = 2.6;

struct NodePorts {
  int listen = FreePort(), admin = FreePort(), gearman = FreePort(), member = FreePort();
};

std::string Config(int self, const std::vector<NodePorts>& ports, int discovery, const std::string& known,
                   const std::string& folder) {
  std::string members;
  for (int i = 0; i < kNodes; ++i) {
    members += std::string(i > 0 ? "," : "") + "{\"id\":\"m" + std::to_string(i) + "\",\"address\":\"" +
               Address(ports[static_cast<std::size_t>(i)].member) + "\",\"place\":\"rack-" + std::to_string(i % 3) +
               "\"" + (i < kVoters ? ",\"voter\":true" : "") + "}";
  }
  Settings settings;
  settings.balancers = kNodes;
  settings.ordinal = self;
  settings.discovery = "ask";
  settings.charge_semantics = "once";
  settings.drain_grace_s = 0.25;
  const NodePorts& own = ports[static_cast<std::size_t>(self)];
  const std::string name = "m" + std::to_string(self);
  return "{\"name\":\"" + name + "\",\"listen\":\"" + Address(own.listen) + "\",\"admin\":\"" + Address(own.admin) +
         "\",\"discovery\":\"" + Address(discovery) + "\",\"log_level\":\"info\",\"known\":" + known +
         ",\"gearman\":" + settings.GearmanJson(own.gearman) + ",\"cluster\":{\"name\":\"roast\",\"self\":\"" + name +
         "\",\"store\":\"" + folder + "/store-" + name + "\",\"members\":[" + members +
         "]},\"settings\":" + settings.Json() + "}";
}

}  // namespace

int main(int argc, char** argv) {
  Begin(argc, argv);
  const bool trouble = Trouble();
  const bool only_kill = std::getenv("ONLY_KILL") != nullptr;  // no release, and discovery stays up
  static Folder folder;
  static Runs runs;
  std::vector<NodePorts> ports(kNodes);
  std::vector<int> worker_ports;
  std::vector<std::unique_ptr<HttpWorker>> workers;
  std::map<std::string, std::string> entries;
  std::vector<std::string> known;
  const auto name_of = [](int worker) { return "s-" + std::to_string(worker); };
  for (int i = 0; i < kWorkers; ++i) {
    worker_ports.push_back(FreePort());
    workers.push_back(std::make_unique<HttpWorker>(name_of(i), worker_ports.back(), kRunS, &runs));
    if (!workers.back()->listening()) End(kCannotRun, folder);
    entries[name_of(i)] = Entry(name_of(i), worker_ports.back(), i);  // each in a rack of its own
    known.push_back(entries[name_of(i)]);
  }
  const int discovery_port = FreePort();
  auto* discovery = new DiscoveryStandIn(discovery_port, entries);
  if (!discovery->listening()) End(kCannotRun, folder);

  std::vector<std::unique_ptr<Process>> nodes;
  for (int i = 0; i < kNodes; ++i) {
    const std::string name = "m" + std::to_string(i);
    const std::string file =
        folder.Write(name + ".json", Config(i, ports, discovery_port, List(known), folder.path()));
    std::filesystem::create_directory(folder.path() + "/tmp-" + name);
    nodes.push_back(std::make_unique<Process>(name, file, folder.path() + "/tmp-" + name,
                                              folder.path() + "/" + name + ".log"));
  }
  const bool ready = Until(30, [&] {
    for (const NodePorts& port : ports) {
      if (Call(port.admin, "GET", "/healthcheck") != 200) return false;
    }
    return true;
  });
  if (!ready) End(kCannotRun, folder);
  RECORD("all nodes are ready");

  // The node promises background jobs once it has a log of them.
  std::size_t owner = 0;
  std::set<std::string> promised;
  std::vector<std::unique_ptr<Gearman>> clients;
  for (int i = 0; i < kVoters; ++i)
    clients.push_back(std::make_unique<Gearman>(ports[static_cast<std::size_t>(i)].gearman));
  const auto submit = [&](const std::string& job) {
    if (!clients[owner]->Send(kSubmitJobBg, {"cobro-envio.grano-sur", "u-" + job, job})) return false;
    const auto packet = clients[owner]->Read(3);
    if (!packet || packet->type != kJobCreated) {
      RECORD("not promised job=%s %s", job.c_str(), packet ? packet->arguments.back().c_str() : "no answer");
      return false;
    }
    RECORD("promised job=%s handle=%s", job.c_str(), packet->arguments[0].c_str());
    promised.insert(job);
    return true;
  };
  int warm_up = 0;
  if (!Until(30, [&] {
        Sleep(0.3);
        owner = static_cast<std::size_t>(warm_up / 25 % kVoters);
        return submit("first-" + std::to_string(++warm_up));
      })) {
    End(kCannotRun, folder);
  }
  Sleep(kRunS + 1);

  // A release: workers are replaced one after the other, each comes back as a fresh start.
  std::atomic<bool> release_ends{false};
  std::thread release([&] {
    for (int i = 0; !release_ends && trouble && !only_kill; i = (i + 1) % kWorkers) {
      const auto worker_port = worker_ports[static_cast<std::size_t>(i)];
      discovery->Change(name_of(i), Entry(name_of(i), worker_port, i, "terminating"));
      Sleep(0.7);
      discovery->Change(name_of(i), Entry(name_of(i), worker_port, i, "in_service", UnixMs() - 500));
      Sleep(0.7);
    }
  });
  Sleep(1.2);
  // Discovery has too many callers for a moment: calls and open watches fail.
  if (trouble && !only_kill) discovery->SetDown(true);
  Sleep(0.45);
  if (trouble && !only_kill) discovery->SetDown(false);

  int number = 0;
  for (const double until = Now() + kSubmitForS; Now() < until; Sleep(kJobGapS)) {
    submit("charge-" + std::to_string(++number));
  }
  if (trouble) nodes[owner]->Signal(SIGKILL);
  release_ends = true;
  release.join();
  Sleep(20);

  int twice = 0, never = 0;
  for (const std::string& job : promised) {
    const auto of_job = runs.Of(job);
    if (of_job.size() > 1) {
      twice += 1;
      RECORD("TWICE job=%s first at %s, again at %s %.2f s later", job.c_str(), of_job[0].worker.c_str(),
             of_job[1].worker.c_str(), of_job[1].at - of_job[0].at);
    }
    never += of_job.empty();
  }
  for (auto& node : nodes) {
    if (!node->Running() && node != nodes[owner]) RECORD("node ended: %s", node->EndText().c_str());
  }
  RECORD("promised=%zu run twice=%d never run=%d", promised.size(), twice, never);
  End(promised.size() < 10 ? kCannotRun : twice > 0 ? kBroken : kHeld, folder);
}
