// Four nodes, one of which is restarted as planned. Gearman clients hand in charges without a unique
// id; workers over HTTP run them and drop repeats by key. Each served charge must have been run, and
// be answered with the result of its own run.
#include "rig/rig.h"

namespace {

using namespace rig;

constexpr int kNodes = 4;
constexpr int kChargesEach = 8;  // before and after the restart
const std::string kFunction = "cobro-envio";

struct Node {
  int number = 0;
  int http = FreePort(), gearman = FreePort(), peer = FreePort();
  int starts = 0;
  Process process;
};

std::string ConfigOf(const Node& node, const std::vector<std::unique_ptr<Node>>& nodes,
                     const std::string& known) {
  std::string peers;
  for (const auto& other : nodes) peers += (peers.empty() ? "" : ",") + Quoted(At(other->peer));
  return "{\"name\":\"n" + std::to_string(node.number) + "\",\"listen\":" + Quoted(At(node.http)) +
         ",\"log_level\":\"info\",\"limits\":{\"sockets\":1024},\"peer_listen\":" +
         Quoted(At(node.peer)) + ",\"peers\":[" + peers + "],\"known\":" + known +
         ",\"gearman\":{\"listen\":" + Quoted(At(node.gearman)) +
         ",\"zone\":\"quilicura\",\"kind\":\"grande\",\"path\":\"/api\",\"functions\":{" +
         "\"cobro-envio\":{\"class\":\"cobro-envio\",\"tenant\":\"tostaduria-andes\"}}}," +
         "\"settings\":" + Settings(kNodes, node.number, "push") + "}";
}

// Started with nothing: a new, empty TMPDIR each time.
void StartNode(const Test& test, Node* node) {
  const std::string base = test.folder + "/n" + std::to_string(node->number);
  const std::string temporary = base + "-tmp-" + std::to_string(++node->starts);
  mkdir(temporary.c_str(), 0700);
  node->process.Start("node n" + std::to_string(node->number),
                      {{"LB_NAME", "n" + std::to_string(node->number)},
                       {"LB_LISTEN", At(node->http)},
                       {"LB_CONFIG", base + ".json"},
                       {"TMPDIR", temporary}},
                      base + ".log");
}

int HandIn(Node* node, int first, std::vector<std::pair<std::string, GearmanAnswer>>* answers) {
  GearmanPeer client;
  if (!client.Open(node->gearman)) CannotRun("no connection to the Gearman front");
  int served = 0;
  for (int i = first; i < first + kChargesEach; ++i) {
    const std::string body = "order-" + std::to_string(i);
    answers->push_back({body, Submit(&client, "client", kFunction, "", body, 10)});
    served += answers->back().second.outcome == "served";
  }
  return served;
}

}  // namespace

int main() {
  const Test test = Begin();
  Rack rack;
  HttpWorker first("w0", &rack, 0.3), second("w1", &rack, 0.3);
  const std::string known = ServerList({{"w0", first.port(), 0}, {"w1", second.port(), 0}}, 1);
  std::vector<std::unique_ptr<Node>> nodes;
  for (int i = 0; i < kNodes; ++i) {
    nodes.push_back(std::make_unique<Node>());
    nodes.back()->number = i;
  }
  for (const auto& node : nodes) {
    WriteFile(test.folder + "/n" + std::to_string(node->number) + ".json",
              ConfigOf(*node, nodes, known));
    StartNode(test, node.get());
  }
  for (const auto& node : nodes) {
    if (!WaitReady(node->http, 15)) CannotRun("a node is not ready");
  }

  std::vector<std::pair<std::string, GearmanAnswer>> answers;
  if (HandIn(nodes[0].get(), 1, &answers) == 0) CannotRun("no charge was served");
  if (test.trouble) {
    nodes[0]->process.Signal(SIGTERM, "SIGTERM, a planned restart");
    if (!nodes[0]->process.Wait(25.7)) {
      nodes[0]->process.Signal(SIGKILL, "SIGKILL");
      if (!nodes[0]->process.Wait(5)) CannotRun("the node did not end");
    }
    Sleep(0.5);
    StartNode(test, nodes[0].get());
    if (!WaitReady(nodes[0]->http, 15)) CannotRun("the node is not ready again");
  }
  if (HandIn(nodes[0].get(), kChargesEach + 1, &answers) == 0)
    CannotRun("no charge was served in the second part");

  int never_run = 0, foreign = 0;
  for (const auto& [body, answer] : answers) {
    if (answer.outcome != "served") continue;
    const std::vector<Run> runs = RunsOf(body);
    bool own = false;
    for (const Run& run : runs) own |= run.result == answer.result;
    never_run += runs.empty();
    foreign += !own;
    if (!own) {
      Record("broken: %s was served with '%s' and run %zu times", body.c_str(),
             answer.result.c_str(), runs.size());
    }
  }
  Record("charges served with another's result: %d, of these never run: %d", foreign, never_run);
  if (foreign > 0) Exit(1, "broken: charges were served with the results of other charges");
  Exit(0, "held: each served charge has the result of its own run");
}
