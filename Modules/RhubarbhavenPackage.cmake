# rhubarbhaven_package(NAME [FOLDERS folder...] DEPENDS target...)
#
# Adds the library rhubarbhaven_<name>, built from every source file in the
# current folder and in the named folders below it. Users of a package include its one public header, "<Name>/<name>.h".
function(rhubarbhaven_package name)
  cmake_parse_arguments(ARG "" "" "FOLDERS;DEPENDS" ${ARGN})
  string(TOLOWER ${name} lower)
  set(patterns "${CMAKE_CURRENT_SOURCE_DIR}/*.cc")
  foreach(folder IN LISTS ARG_FOLDERS)
    list(APPEND patterns "${CMAKE_CURRENT_SOURCE_DIR}/${folder}/*.cc")
  endforeach()
  file(GLOB sources CONFIGURE_DEPENDS ${patterns})
  if(NOT sources)
    # The package has only its public header so far.
    add_library(rhubarbhaven_${lower} INTERFACE)
    target_include_directories(rhubarbhaven_${lower} INTERFACE "${CMAKE_SOURCE_DIR}/Source")
    target_link_libraries(rhubarbhaven_${lower} INTERFACE ${ARG_DEPENDS})
    return()
  endif()
  add_library(rhubarbhaven_${lower} STATIC ${sources})
  target_include_directories(rhubarbhaven_${lower} PUBLIC "${CMAKE_SOURCE_DIR}/Source")
  target_link_libraries(rhubarbhaven_${lower} PUBLIC ${ARG_DEPENDS})
  target_compile_options(rhubarbhaven_${lower} PRIVATE -Wall -Wextra -Werror)
endfunction()

# rhubarbhaven_test(NAME SOURCES file... DEPENDS target... [LABEL label]
#                   [TIMEOUT seconds])
#
# Adds a GoogleTest program, registered with CTest under its own name.
function(rhubarbhaven_test name)
  cmake_parse_arguments(ARG "" "LABEL;TIMEOUT" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_include_directories(${name} PRIVATE "${CMAKE_SOURCE_DIR}/Source" "${CMAKE_SOURCE_DIR}")
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} GTest::gmock GTest::gtest_main)
  target_compile_options(${name} PRIVATE -Wall -Wextra -Werror)
  add_test(NAME ${name} COMMAND ${name})
  if(ARG_LABEL)
    set_tests_properties(${name} PROPERTIES LABELS ${ARG_LABEL})
  endif()
  if(ARG_TIMEOUT)
    set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT})
  endif()
endfunction()

# rhubarbhaven_benchmark(NAME SOURCES file... DEPENDS target...)
#
# Adds a Google Benchmark program or one that checks bounds on what it measures,
# run by Utilities/run-bench.
function(rhubarbhaven_benchmark name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_include_directories(${name} PRIVATE "${CMAKE_SOURCE_DIR}/Source" "${CMAKE_SOURCE_DIR}")
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} benchmark::benchmark)
  target_compile_options(${name} PRIVATE -Wall -Wextra -Werror)
endfunction()
