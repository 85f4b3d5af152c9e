target_link_libraries(entry-tests PRIVATE ftb_app_entry)
