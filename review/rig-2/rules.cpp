// Three nodes are one cluster. Background charges run that must not be doubled ('once'). A new configuration removes
// their class and adds one with another effect, to which the Gearman functions lead from then on; then the node that
// took the charges is told to end.
#include "rig.h"

using namespace rig;

namespace {

constexpr int kNodes = 3, kWorkers = 6, kCharges = 12;
constexpr double kRunS = 3.6;  // of a charge, by the pages 1.9 to 3.7 s

struct NodePorts {
  int listen = FreePort(), admin = FreePort(), gearman = FreePort(), member = FreePort();
};

std::string Config(int self, const std::vector<NodePorts>& ports, const std::string& known, const std::string& folder,
                   bool new_class) {
  std::string members;
  for (int i = 0; i < kNodes; ++i) {
    members += std::string(i > 0 ? "," : "") + "{\"id\":\"m" + std::to_string(i) + "\",\"address\":\"" +
               Address(ports[static_cast<std::size_t>(i)].member) + "\",\"place\":\"rack-" + std::to_string(i) +
               "\",\"voter\":true}";
  }
  Settings settings;
  settings.balancers = kNodes;
  settings.ordinal = self;
  settings.charge_class = new_class ? "cobro-directo" : "cobro-envio";
  settings.charge_semantics = new_class ? "repeatable" : "once";
  settings.charge_group = "all";
  const NodePorts& own = ports[static_cast<std::size_t>(self)];
  const std::string name = "m" + std::to_string(self);
  return "{\"name\":\"" + name + "\",\"listen\":\"" + Address(own.listen) + "\",\"admin\":\"" + Address(own.admin) +
         "\",\"log_level\":\"info\",\"known\":" + known + ",\"gearman\":" + settings.GearmanJson(own.gearman) +
         ",\"cluster\":{\"name\":\"roast\",\"self\":\"" + name + "\",\"store\":\"" + folder + "/store-" + name +
         "\",\"members\":[" + members + "]},\"settings\":" + settings.Json() + "}";
}

}  // namespace

int main(int argc, char** argv) {
  Begin(argc, argv);
  static Folder folder;
  static Runs runs;
  std::vector<NodePorts> ports(kNodes);
  static std::vector<std::unique_ptr<HttpWorker>> workers;
  std::vector<std::string> known;
  for (int i = 0; i < kWorkers; ++i) {
    const int port = FreePort();
    const std::string name = "s-" + std::to_string(i);
    workers.push_back(std::make_unique<HttpWorker>(name, port, kRunS, &runs));
    if (!workers.back()->listening()) End(kCannotRun, folder);
    known.push_back(Entry(name, port, i / 2));
  }
  std::vector<std::unique_ptr<Process>> nodes;
  for (int i = 0; i < kNodes; ++i) {
    const std::string name = "m" + std::to_string(i);
    const std::string file = folder.Write(name + ".json", Config(i, ports, List(known), folder.path(), false));
    std::filesystem::create_directory(folder.path() + "/tmp-" + name);
    nodes.push_back(std::make_unique<Process>(name, file, folder.path() + "/tmp-" + name,
                                              folder.path() + "/" + name + ".log"));
  }
  const bool ready = Until(20, [&] {
    for (const NodePorts& port : ports) {
      if (Call(port.admin, "GET", "/healthcheck") != 200) return false;
    }
    return true;
  });
  if (!ready) {
    for (auto& node : nodes) RECORD("not ready: process %d %s", node->pid(), node->Running() ? "runs" : "ended");
    End(kCannotRun, folder);
  }
  Sleep(5);  // docs/copies.md: a log that takes promises needs a view or two, some 3 s

  // The node that takes the charges: one that has opened a log, which some never do where they are asked early.
  std::size_t owner = 0;
  std::vector<std::string> promised;
  std::vector<std::unique_ptr<Gearman>> clients;
  for (const NodePorts& port : ports) clients.push_back(std::make_unique<Gearman>(port.gearman));
  const auto submit = [&](const std::string& job) {
    clients[owner]->Send(kSubmitJobBg, {"cobro-envio.grano-sur", "u-" + job, job});
    const auto packet = clients[owner]->Read(3);
    if (!packet || packet->type != kJobCreated) {
      RECORD("not promised job=%s %s", job.c_str(), packet ? packet->arguments.back().c_str() : "no answer");
      return false;
    }
    RECORD("promised job=%s handle=%s", job.c_str(), packet->arguments[0].c_str());
    promised.push_back(job);
    return true;
  };
  int first = 0;
  if (!Until(30, [&] {
        Sleep(2);
        owner = static_cast<std::size_t>(first / 3 % kNodes);
        return submit("first-" + std::to_string(++first));
      })) {
    End(kCannotRun, folder);
  }
  Sleep(kRunS + 1);
  for (int i = 1; i <= kCharges; ++i) submit("charge-" + std::to_string(i));
  Sleep(0.5);  // they run
  const bool only_restart = std::getenv("ONLY_RESTART") != nullptr;
  if (Trouble() && !only_restart) {
    for (int i = 0; i < kNodes; ++i) {
      folder.Write("m" + std::to_string(i) + ".json", Config(i, ports, List(known), folder.path(), true));
      nodes[static_cast<std::size_t>(i)]->Signal(SIGHUP);
    }
  }
  Sleep(0.5);
  if (Trouble()) nodes[owner]->Signal(SIGTERM);
  Sleep(25);
  int twice = 0, never = 0;
  for (const std::string& job : promised) {
    const auto of_job = runs.Of(job);
    never += of_job.empty();
    if (of_job.size() < 2) continue;
    twice += 1;
    RECORD("TWICE job=%s at %s and, %.2f s later, at %s", job.c_str(), of_job[0].worker.c_str(),
           of_job[1].at - of_job[0].at, of_job[1].worker.c_str());
  }
  RECORD("promised=%zu run twice=%d never run=%d", promised.size(), twice, never);
  End(promised.size() < 5 ? kCannotRun : twice > 0 ? kBroken : kHeld, folder);
}
