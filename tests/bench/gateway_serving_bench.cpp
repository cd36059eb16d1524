// Simulates one gateway's decisions with sixteen simulated engines on a virtual clock, with the project's
// policies and the baselines on the same seeds. Prints Markdown, and writes serving.csv and serving.svg into
// the given folder. Figures are reproducible exactly.
#include "rig_contenders.h"

#include <iostream>

using namespace dragonflymill;
using namespace dragonflymill::rig;

namespace {

constexpr std::array<int, 4> loads{50, 80, 95, 120};

} // namespace

auto main(int argc, char** argv) -> int
{
    const std::string folder = argc > 1 ? argv[1] : ".";
    std::cout << "Sixteen engines, " << seed_count << " seeds of " << request_count
              << " requests; the middle three fifths count. Load is the least work over what the engines can "
                 "do.\n\n";
    const auto routing =
        run_cells({contender::ours, contender::ours_without_lanes, contender::power_of_two,
                   contender::least_outstanding, contender::round_robin, contender::one_queue},
                  {loads.begin(), loads.end()});
    write_first_tokens(std::cout, routing);
    write_service(std::cout, routing);
    std::ofstream csv(folder + "/serving.csv");
    write_csv(csv, routing);
    std::ofstream plot(folder + "/serving.svg");
    write_plot(plot, routing);
    return csv.good() && plot.good() ? 0 : 1;
}
