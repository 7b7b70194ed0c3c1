// Runs a matrix of policy, load, fault and seed; a run that is in the results file is not repeated.
#include "ragwortcove/bench/experiment.hpp"

#include "commands.hpp"
#include "parallel.hpp"

#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <sstream>

namespace ragwortcove::bench {

namespace json = boost::json;

static constexpr int usage_error = 2;

namespace {

struct experiment_options {
    experiment_plan plan;
    unsigned threads = 1;
    std::string output;
};

} // namespace

static std::vector<std::string> split_list(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');) {
        parts.push_back(part);
    }
    return parts;
}

static experiment_options parse_options(std::vector<std::string>& arguments)
{
    TCLAP::CmdLine line("Runs a matrix of policy, load, fault and seed on virtual time. Example: "
                        "ragwortcove-bench experiment --policies permits,round_robin --loads 0.8,2",
                        ' ', "0.1.0");
    TCLAP::ValueArg<std::string> deployments("d", "deployments", "consortium, torvelund, small",
                                             false, "consortium", "list", line);
    TCLAP::ValueArg<std::string> policies("p", "policies", "placement policies", false, "permits",
                                          "list", line);
    TCLAP::ValueArg<std::string> loads("l", "loads", "offered work as a share of capacity", false,
                                       "0.8", "list", line);
    TCLAP::ValueArg<std::string> faults("f", "faults",
                                        "none, engine_crashes, engine_slow, entry_crashes, "
                                        "platform_outage, partition",
                                        false, "none", "list", line);
    TCLAP::ValueArg<std::uint64_t> seeds("s", "seeds", "seeds 1 to this", false, 3, "count", line);
    TCLAP::ValueArg<std::uint32_t> length("", "length", "time in which callers send", false, 120,
                                          "seconds", line);
    TCLAP::ValueArg<unsigned> threads("t", "threads", "runs side by side", false, 1, "count", line);
    TCLAP::ValueArg<std::string> output("o", "output",
                                        "results as JSON lines; CSV goes beside with .csv", false,
                                        "experiment.jsonl", "file", line);
    line.parse(arguments);

    experiment_options options;
    options.plan.deployments = split_list(deployments.getValue());
    options.plan.policies = split_list(policies.getValue());
    for (const std::string& load : split_list(loads.getValue())) {
        options.plan.loads.push_back(std::stod(load));
    }
    options.plan.faults = split_list(faults.getValue());
    for (std::uint64_t seed = 1; seed <= seeds.getValue(); ++seed) {
        options.plan.seeds.push_back(seed);
    }
    options.plan.length = std::chrono::seconds{length.getValue()};
    options.threads = threads.getValue();
    options.output = output.getValue();
    return options;
}

/// The first name that is not known, with what was expected; empty when all are.
static std::string find_unknown_name(const experiment_plan& plan)
{
    for (const std::string& name : plan.deployments) {
        if (!find_deployment(name)) {
            return "deployment " + name + ": expected consortium, torvelund or small";
        }
    }
    for (const std::string& name : plan.faults) {
        if (!find_fault_pattern(name, small_site(), plan.length, 1)) {
            return "faults " + name +
                   ": expected none, engine_crashes, engine_slow, "
                   "entry_crashes, platform_outage or partition";
        }
    }
    return {};
}

using results_by_case = std::map<std::string, json::object>;

static results_by_case read_results(const std::string& file)
{
    results_by_case results;
    std::ifstream in(file);
    for (std::string line; std::getline(in, line);) {
        boost::system::error_code error;
        const json::value row = json::parse(line, error);
        // A run that was stopped can leave half a line; its case is run again.
        if (!error && row.is_object() && row.as_object().contains("case")) {
            const json::object& fields = row.as_object();
            results.emplace(fields.at("case").as_string().c_str(), fields);
        }
    }
    return results;
}

static void print_summary(const std::vector<experiment_case>& cases, const results_by_case& results)
{
    std::cout << "case answered/offered by rank, lookups' p99, wasted prefill\n";
    for (const experiment_case& each : cases) {
        const json::object& row = results.at(each.name());
        const auto number = [&](const char* key) { return row.at(key).to_number<double>(); };
        const double wasted =
            number("undelivered_prefill_tokens") + number("repeated_prefill_tokens");
        std::cout << each.name();
        for (const std::string rank : {"rank0", "rank1", "rank2"}) {
            std::cout << ' ' << number(("answered_" + rank).c_str()) << '/'
                      << number(("offered_" + rank).c_str());
        }
        std::cout << ' ' << number("service_p99_ms") << " ms "
                  << 100.0 * wasted / std::max(1.0, number("prefilled_tokens")) << "%"
                  << (number("violations") > 0 ? " BROKEN PROMISES" : "") << '\n';
    }
}

static bool write_results(const experiment_options& options,
                          const std::vector<experiment_case>& cases, const results_by_case& results)
{
    std::vector<json::object> rows;
    rows.reserve(cases.size());
    for (const experiment_case& each : cases) {
        rows.push_back(results.at(each.name()));
    }
    std::ofstream csv(options.output + ".csv");
    csv << write_csv(rows);
    return csv.good();
}

int run_experiment_command(std::vector<std::string> arguments)
{
    const experiment_options options = parse_options(arguments);
    const std::string unknown = find_unknown_name(options.plan);
    if (!unknown.empty()) {
        std::cerr << unknown << '\n';
        return usage_error;
    }
    const std::vector<experiment_case> cases = cases_of(options.plan);
    results_by_case results = read_results(options.output);
    std::vector<experiment_case> missing;
    for (const experiment_case& each : cases) {
        if (!results.contains(each.name())) {
            missing.push_back(each);
        }
    }
    std::ofstream lines(options.output, std::ios::app);
    std::mutex guard;
    run_parallel(missing.size(), options.threads, [&](std::size_t index) {
        json::object row = run_case(missing[index], options.plan.length);
        const std::lock_guard lock(guard);
        lines << json::serialize(row) << std::endl;
        results.emplace(missing[index].name(), std::move(row));
    });
    if (!lines.good() || !write_results(options, cases, results)) {
        std::cerr << "cannot write " << options.output << '\n';
        return 1;
    }
    print_summary(cases, results);
    return 0;
}

} // namespace ragwortcove::bench
