set(BORAGESLIP_SANITIZER "" CACHE STRING "Value for -fsanitize=, empty for none")

add_library(borageslip_options INTERFACE)
target_compile_options(borageslip_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow)
if(NOT BORAGESLIP_PLATFORM_ONLY)
    target_compile_options(borageslip_options INTERFACE -Werror)
endif()
target_compile_definitions(borageslip_options INTERFACE BOOST_LOG_DYN_LINK)
if(BORAGESLIP_SANITIZER)
    target_compile_options(borageslip_options INTERFACE
        -fsanitize=${BORAGESLIP_SANITIZER} -fno-omit-frame-pointer -fno-sanitize-recover=all)
    # Warnings that g++ 12 reports falsely when sanitizer instrumentation is on.
    target_compile_options(borageslip_options INTERFACE -Wno-error=maybe-uninitialized -Wno-error=stringop-overflow)
    target_link_options(borageslip_options INTERFACE -fsanitize=${BORAGESLIP_SANITIZER})
endif()

# Headers that nearly all sources read. Only headers of libraries are precompiled, so that no change in the project makes
# them out of date.
set(borageslip_common_headers <utility> <algorithm> <chrono> <functional> <map> <memory> <optional> <random> <string> <vector>
    <nlohmann/json.hpp>)

# borageslip_precompile(<target> [<headers>...])
function(borageslip_precompile target)
    target_precompile_headers(${target} PRIVATE ${borageslip_common_headers} ${ARGN})
endfunction()

# borageslip_precompile_asio(<target> [<headers>...])
# For targets that read Boost.Asio: Debian's boost/asio/awaitable.hpp uses std::exchange without including <utility>, which
# therefore stands first among the precompiled headers.
function(borageslip_precompile_asio target)
    borageslip_precompile(${target} <boost/asio.hpp> <boost/beast/http.hpp> ${ARGN})
endfunction()

# borageslip_add_module(<name> [DEPENDS <targets>...] [PRECOMPILE <headers>...])
# A static library from all sources under the current folder, with one public header <name>.h.
function(borageslip_add_module name)
    cmake_parse_arguments(ARG "" "" "DEPENDS;PRECOMPILE" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_library(${name} STATIC ${sources})
    target_include_directories(${name} PUBLIC ${CMAKE_SOURCE_DIR}/modules)
    target_link_libraries(${name} PUBLIC ${ARG_DEPENDS} PRIVATE borageslip_options)
    target_compile_definitions(${name} PUBLIC BOOST_LOG_DYN_LINK)
    if(ARG_PRECOMPILE)
        borageslip_precompile(${name} ${ARG_PRECOMPILE})
    endif()
endfunction()

# borageslip_add_program(<name> SOURCES <files>... DEPENDS <targets>...)
function(borageslip_add_program name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} borageslip_options)
    target_compile_definitions(${name} PRIVATE BORAGESLIP_VERSION="${PROJECT_VERSION}")
endfunction()

# borageslip_install_program(<name> <description>)
# Installs a program without its debug information, which goes into a file beside it that debuggers find by its link, and
# its manual page, which is made from what --help prints and so cannot differ from it.
find_program(HELP2MAN_PROGRAM help2man)
function(borageslip_install_program name description)
    install(TARGETS ${name} RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
    install(CODE "
        set(program \"\$ENV{DESTDIR}\${CMAKE_INSTALL_PREFIX}/${CMAKE_INSTALL_BINDIR}/${name}\")
        execute_process(COMMAND ${CMAKE_OBJCOPY} --only-keep-debug \${program} \${program}.debug COMMAND_ERROR_IS_FATAL ANY)
        execute_process(COMMAND ${CMAKE_STRIP} --strip-debug --strip-unneeded \${program} COMMAND_ERROR_IS_FATAL ANY)
        execute_process(COMMAND ${CMAKE_OBJCOPY} --add-gnu-debuglink=\${program}.debug \${program} COMMAND_ERROR_IS_FATAL ANY)")
    if(NOT HELP2MAN_PROGRAM)
        return()
    endif()
    set(page ${CMAKE_BINARY_DIR}/man/${name}.1)
    add_custom_command(OUTPUT ${page}
        COMMAND ${HELP2MAN_PROGRAM} --no-info --no-discard-stderr --name=${description} --output=${page} $<TARGET_FILE:${name}>
        DEPENDS ${name} VERBATIM)
    add_custom_target(${name}-man ALL DEPENDS ${page})
    install(FILES ${page} DESTINATION ${CMAKE_INSTALL_MANDIR}/man1)
endfunction()

# borageslip_add_tests(<module> [DEPENDS <targets>...] [PRECOMPILE <headers>...])
# One Catch2 program from all sources in the current folder; each test case is a ctest test.
function(borageslip_add_tests module)
    cmake_parse_arguments(ARG "" "" "DEPENDS;PRECOMPILE" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_executable(${module}_tests ${sources})
    target_link_libraries(${module}_tests PRIVATE ${module} ${ARG_DEPENDS} borageslip_test_main borageslip_options)
    target_compile_definitions(${module}_tests PRIVATE BORAGESLIP_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
    borageslip_precompile(${module}_tests <catch2/catch.hpp> ${ARG_PRECOMPILE})
    catch_discover_tests(${module}_tests TEST_PREFIX "${module}: " PROPERTIES TIMEOUT 120)
endfunction()

# borageslip_add_subfolders()
# Adds every folder below the current one that has a CMakeLists.txt.
function(borageslip_add_subfolders)
    file(GLOB folders LIST_DIRECTORIES true CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*)
    foreach(folder ${folders})
        if(EXISTS ${folder}/CMakeLists.txt)
            add_subdirectory(${folder})
        endif()
    endforeach()
endfunction()
