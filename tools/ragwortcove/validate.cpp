#include "commands.hpp"
#include "object_commands.hpp"

#include <iostream>

namespace ragwortcove::tool {

using cli::exit_code;

exit_code run_validate(const words& arguments)
{
    cli::command_line line("validate",
                           "Checks files of objects as if nothing else were in force. Nothing is "
                           "sent; apply checks against the objects in force as well.",
                           "ragwortcove validate -f examples/consortium.ini");
    TCLAP::MultiArg<std::string> files("f", "file", "INI file of objects; may be repeated", true,
                                       "path", line.arguments());
    line.parse(arguments);

    const auto declared = read_files(files.getValue());
    auto errors = declared.errors;
    // With a section that cannot be read, names would seem to be missing.
    if (errors.empty())
        errors = settings::check_references(declared.objects, {}, wall_clock());
    print_errors(std::cerr, errors);
    if (!errors.empty())
        return exit_code::invalid_input;
    std::cout << declared.objects.size() << " objects, no mistakes\n";
    return exit_code::ok;
}

} // namespace ragwortcove::tool
